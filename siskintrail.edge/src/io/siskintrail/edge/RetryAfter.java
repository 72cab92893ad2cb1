package io.siskintrail.edge;

import io.netty.handler.codec.DateFormatter;
import java.time.Duration;
import java.util.Date;

/** Reads the values of {@code Retry-After} headers, which are bounded because anyone sends them. */
public final class RetryAfter {
    /** Pause for a value that cannot be read or is negative. */
    static final long DEFAULT_MILLIS = 1_000;

    /** Longest pause, after which one request tries whether a larger value was meant. */
    static final long MAX_MILLIS = Duration.ofMinutes(10).toMillis();

    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfter() {}

    /**
     * Returns the pause that a header value asks for, in milliseconds from 0 to ten minutes; -1 if
     * there is none.
     *
     * @param value seconds, which may have a fraction, or an HTTP date; null if the header is
     *     missing
     * @param unixMillis the current Unix time in milliseconds
     */
    public static long parseMillis(String value, long unixMillis) {
        if (value == null) {
            return -1;
        }
        String text = value.trim();
        Date date = DateFormatter.parseHttpDate(text);
        if (date != null) {
            return Math.max(0, Math.min(MAX_MILLIS, date.getTime() - unixMillis));
        }
        double seconds = parseSeconds(text);
        if (!(seconds >= 0)) {
            return DEFAULT_MILLIS;
        }
        return (long) Math.min(MAX_MILLIS, Math.ceil(seconds * MILLIS_PER_SECOND));
    }

    private static double parseSeconds(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
