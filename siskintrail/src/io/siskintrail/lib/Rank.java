package io.siskintrail.lib;

/** Priority class of a request. */
public enum Rank {
    /** Interactive work: a person waits for the answer. */
    URGENT,
    /** Long-running work that may be suspended in favor of urgent work. */
    BULK
}
