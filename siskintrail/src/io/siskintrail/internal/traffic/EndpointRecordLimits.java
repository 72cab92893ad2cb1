package io.siskintrail.internal.traffic;

import java.time.Duration;

/**
 * Checks what an endpoint reported of itself, before it outranks or misleads anything: a record out
 * of range may come from another writer.
 */
public final class EndpointRecordLimits {
    /** Largest integer that a double holds exactly; the next reports can still exceed it. */
    private static final long MAX_SEQUENCE = 1L << 53;

    private static final int MAX_SLOTS = 1 << 16;
    private static final long MAX_COLD_MILLIS = Duration.ofDays(1).toMillis();

    /**
     * Maximum time by which the clock of an endpoint may be ahead. A later start would outrank all
     * reports of the endpoint that has the id.
     */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = Duration.ofDays(1).toMillis();

    private EndpointRecordLimits() {}

    /**
     * Validates {@code record}.
     *
     * @param nowMillis the time of day in Unix milliseconds
     * @throws IllegalArgumentException if its address is no literal IP address with a port, or a
     *     number is out of range
     */
    public static void validate(EndpointRecord record, long nowMillis) {
        EndpointAddress.validate(record.address());
        requireAtMost("start", record.incarnation(), nowMillis + MAX_CLOCK_DIFFERENCE_MILLIS);
        requireAtMost("sequence", record.sequence(), MAX_SEQUENCE);
        requireAtMost("slots", record.slots(), MAX_SLOTS);
        requireAtMost("warm-up time", record.coldMillis(), MAX_COLD_MILLIS);
    }

    private static void requireAtMost(String name, long value, long max) {
        if (value < 0 || value > max) {
            throw new IllegalArgumentException(
                    "%s of an endpoint is outside the allowed range".formatted(name));
        }
    }
}
