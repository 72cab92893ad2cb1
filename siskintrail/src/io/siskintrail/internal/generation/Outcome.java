package io.siskintrail.internal.generation;

import io.siskintrail.lib.ResultCode;

/**
 * Result with which a generation ended.
 *
 * @param code OK for a complete answer
 * @param reason the finish reason of the engine for a complete answer, the error detail otherwise
 */
public record Outcome(ResultCode code, String reason) {

    /** Returns whether the answer is complete. */
    public boolean isWhole() {
        return code == ResultCode.OK;
    }
}
