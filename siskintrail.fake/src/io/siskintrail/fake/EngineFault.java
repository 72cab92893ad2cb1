package io.siskintrail.fake;

/** What a fake engine does wrong with the chunks of its streams. */
public enum EngineFault {
    /** Nothing. */
    NONE,
    /** Leaves one chunk out. */
    LOSE_CHUNK,
    /** Sends one chunk twice. */
    REPEAT_CHUNK,
    /** Sends two chunks in the wrong order. */
    CROSS_CHUNKS,
    /** Ends the connection in the middle of a stream. */
    RESET,
    /** Sends one chunk late. */
    DELAY_CHUNK
}
