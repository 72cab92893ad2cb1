package io.siskintrail.internal.policy;

import java.util.ArrayDeque;

/** The most and the least requests that the known routers ran on an endpoint in the last second. */
final class RunningWindow {
    private final ArrayDeque<Sample> most = new ArrayDeque<>();
    private final ArrayDeque<Sample> least = new ArrayDeque<>();

    private record Sample(long at, int running) {}

    void add(long now, int running) {
        trim(now, most);
        trim(now, least);
        while (!most.isEmpty() && most.peekLast().running <= running) {
            most.pollLast();
        }
        while (!least.isEmpty() && least.peekLast().running >= running) {
            least.pollLast();
        }
        most.addLast(new Sample(now, running));
        least.addLast(new Sample(now, running));
    }

    int most() {
        return most.peekFirst().running;
    }

    int least() {
        return least.peekFirst().running;
    }

    private static void trim(long now, ArrayDeque<Sample> samples) {
        long oldest = now - SlotCoordinator.REPORT_LAG_MILLIS;
        while (!samples.isEmpty() && samples.peekFirst().at < oldest) {
            samples.pollFirst();
        }
    }
}
