package io.siskintrail.internal.traffic.crash;

import java.util.List;

/** Counts how far crashes are spread over time, because what fails at once has one cause. */
final class CrashMoments {
    private static final long MOMENT_MILLIS = 500;

    private CrashMoments() {}

    /** Returns the number of moments, at least 500 ms apart, at which the ordered crashes came. */
    static int count(List<Crash> crashes) {
        int moments = 0;
        long start = 0;
        for (Crash crash : crashes) {
            if (moments == 0 || crash.atMillis - start >= MOMENT_MILLIS) {
                moments++;
                start = crash.atMillis;
            }
        }
        return moments;
    }
}
