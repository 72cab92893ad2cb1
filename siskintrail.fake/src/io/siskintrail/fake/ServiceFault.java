package io.siskintrail.fake;

/** What a fake plain service does wrong with a call. */
public enum ServiceFault {
    /** Nothing. */
    NONE,
    /** Resets the connection before it executes the call. */
    RESET_BEFORE,
    /** Executes the call, then resets the connection instead of answering. */
    RESET_AFTER,
    /** Neither executes nor answers the call, with the connection open. */
    HANG,
    /** Executes the call and never answers. */
    NO_ANSWER,
    /** Executes the call, sends a part of the answer and closes the connection. */
    CUT_ANSWER
}
