package io.siskintrail.internal.traffic.endpoint;

import java.time.Duration;

/** Limits of the numbers in a report of an endpoint. */
public final class EndpointReportLimits {
    /** Largest integer that a double holds exactly; the next reports can still exceed it. */
    private static final long MAX_SEQUENCE = 1L << 53;

    private static final int MAX_SLOTS = 1 << 16;
    private static final long MAX_COLD_MILLIS = Duration.ofDays(1).toMillis();

    /**
     * Maximum time by which the clock of an endpoint may be ahead. A later start would outrank all
     * reports of the endpoint that has the id.
     */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = Duration.ofDays(1).toMillis();

    private EndpointReportLimits() {}

    /**
     * Returns {@code report}.
     *
     * @param unixMillis the current time of this host in Unix milliseconds
     * @throws IllegalArgumentException if the address or a number is outside its limits
     */
    public static EndpointRecord validate(EndpointRecord report, long unixMillis) {
        EndpointAddress.validate(report.address());
        requireWithin("start", report.incarnation(), unixMillis + MAX_CLOCK_DIFFERENCE_MILLIS);
        requireWithin("sequence", report.sequence(), MAX_SEQUENCE);
        requireWithin("slots", report.slots(), MAX_SLOTS);
        requireWithin("warm-up time", report.coldMillis(), MAX_COLD_MILLIS);
        return report;
    }

    private static void requireWithin(String name, long value, long max) {
        if (value < 0 || value > max) {
            throw new IllegalArgumentException("%s is outside the allowed range".formatted(name));
        }
    }
}
