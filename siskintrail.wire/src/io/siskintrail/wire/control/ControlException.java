package io.siskintrail.wire.control;

import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;

/** Completes a proposal that got no answer from the replicated state. */
public final class ControlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /** Carries {@code failure}. */
    public ControlException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /** Returns why there is no answer. */
    public Failure failure() {
        return failure;
    }

    /** Returns whether the command may still be committed and applied. */
    public boolean outcomeUnknown() {
        return failure.code() == ResultCode.CONTROL_OUTCOME_UNKNOWN;
    }
}
