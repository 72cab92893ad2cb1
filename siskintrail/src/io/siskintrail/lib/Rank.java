package io.siskintrail.lib;

/** Says which work goes first. */
public enum Rank {
    /** Work that callers wait for in person. */
    URGENT,
    /** Long work that may be suspended for urgent work. */
    BULK
}
