package io.siskintrail.fake;

/** What a fake plain service does wrong with a call. */
public enum ServiceFault {
    /** Nothing. */
    NONE,
    /** Resets the connection before it executes the call. */
    RESET_BEFORE,
    /** Executes the call, then resets the connection instead of answering. */
    RESET_AFTER,
    /** Executes the call and never answers. */
    NO_ANSWER
}
