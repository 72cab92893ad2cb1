package io.siskintrail.net;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the bytes of the large bodies that the calls of a server hold at the same time. Owned by a
 * server, used on its event loop; the gauges may be read on any thread.
 */
final class BodyBudget {
    private final long maxBytes;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private volatile long held;
    private volatile int waiting;

    /** A body that waits for room, and what is told when it has been charged. */
    private record Waiting(int bytes, Runnable taken) {}

    /** Makes a budget of {@code maxBytes}, which no single body may exceed. */
    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Charges {@code bytes}, at once or later, in the order of the calls. */
    void take(int bytes, Runnable taken) {
        if (bytes == 0 || queue.isEmpty() && held + bytes <= maxBytes) {
            held += bytes;
            taken.run();
            return;
        }
        queue.add(new Waiting(bytes, taken));
        waiting = queue.size();
    }

    /** Forgets a body that waits; returns whether it did. */
    boolean cancel(Runnable taken) {
        boolean removed = queue.removeIf(w -> w.taken() == taken);
        waiting = queue.size();
        return removed;
    }

    /** Gives back what was charged, and charges bodies that wait. */
    void release(int bytes) {
        held -= bytes;
        while (!queue.isEmpty() && held + queue.peek().bytes() <= maxBytes) {
            Waiting next = queue.poll();
            waiting = queue.size();
            held += next.bytes();
            next.taken().run();
        }
    }

    /** Returns the bytes that are charged. */
    long held() {
        return held;
    }

    /** Returns how many bodies wait. */
    int waiting() {
        return waiting;
    }
}
