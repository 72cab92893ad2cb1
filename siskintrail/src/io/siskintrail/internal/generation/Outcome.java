package io.siskintrail.internal.generation;

import io.siskintrail.lib.ResultCode;

/**
 * Says how a generation ended.
 *
 * @param code OK for a whole answer
 * @param reason the finish reason of the engine for a whole answer, the cause otherwise
 */
public record Outcome(ResultCode code, String reason) {

    /** Returns whether the answer is whole. */
    public boolean isWhole() {
        return code == ResultCode.OK;
    }
}
