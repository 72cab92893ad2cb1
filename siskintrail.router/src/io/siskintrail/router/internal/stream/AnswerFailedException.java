package io.siskintrail.router.internal.stream;

import io.siskintrail.lib.Failure;

/** Ends an answer stream that cannot be completed. */
public final class AnswerFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /** Takes the failure that the caller is told. */
    public AnswerFailedException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /** Returns the failure that the caller is told. */
    public Failure failure() {
        return failure;
    }
}
