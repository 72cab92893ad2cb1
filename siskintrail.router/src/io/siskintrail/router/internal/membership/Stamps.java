package io.siskintrail.router.internal.membership;

import io.siskintrail.internal.membership.MembershipInput.Announced;

/**
 * The text that an endpoint echoes with its next announcement: which start of a router answered it,
 * and when by the clock of that router.
 */
final class Stamps {
    private static final int RADIX = 36;
    private static final char SEPARATOR = '.';

    private Stamps() {}

    static String write(long boot, long nowMillis) {
        return Long.toString(boot, RADIX) + SEPARATOR + Long.toString(nowMillis, RADIX);
    }

    /** Returns the time in {@code stamp}, or {@link Announced#NO_STAMP} when it is not ours. */
    static long read(String stamp, long boot, long nowMillis) {
        int at = stamp == null ? -1 : stamp.indexOf(SEPARATOR);
        if (at < 0) {
            return Announced.NO_STAMP;
        }
        try {
            long millis = Long.parseLong(stamp.substring(at + 1), RADIX);
            boolean ours = Long.parseLong(stamp.substring(0, at), RADIX) == boot;
            return ours && millis <= nowMillis ? millis : Announced.NO_STAMP;
        } catch (NumberFormatException e) {
            return Announced.NO_STAMP;
        }
    }
}
