package io.siskintrail.fake;

/** How far a call of a fake plain service has come. */
public enum CallPhase {
    /** The whole request has arrived and was not executed yet. */
    ARRIVED,
    /** The call was executed and not answered yet. */
    EXECUTED
}
