package io.siskintrail.internal.policy;

import java.util.ArrayDeque;

/** Sliding maximum and minimum of the requests of known routers on an endpoint in one second. */
final class RunningWindow {
    private final ArrayDeque<Sample> max = new ArrayDeque<>();
    private final ArrayDeque<Sample> min = new ArrayDeque<>();

    private record Sample(long atMillis, int running) {}

    void add(long now, int running) {
        removeExpired(now, max);
        removeExpired(now, min);
        while (!max.isEmpty() && max.peekLast().running <= running) {
            max.pollLast();
        }
        while (!min.isEmpty() && min.peekLast().running >= running) {
            min.pollLast();
        }
        max.addLast(new Sample(now, running));
        min.addLast(new Sample(now, running));
    }

    int max() {
        return max.peekFirst().running;
    }

    int min() {
        return min.peekFirst().running;
    }

    private static void removeExpired(long now, ArrayDeque<Sample> samples) {
        long oldest = now - SlotCoordinator.REPORT_LAG_MILLIS;
        while (!samples.isEmpty() && samples.peekFirst().atMillis < oldest) {
            samples.pollFirst();
        }
    }
}
