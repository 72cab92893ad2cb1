package io.siskintrail.edge.internal;

import io.netty.util.concurrent.Future;
import io.siskintrail.net.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Knows the open streams and looks after each when the silence of its engine can first mean
 * something. No timer runs while no stream is open. Used on the event loop.
 */
final class StreamWatch {
    /** Nothing is due. */
    static final long NEVER = Long.MAX_VALUE;

    /** Pause between two looks; short beside every limit on a silence. */
    private static final long SHORTEST_PAUSE_MILLIS = 15;

    private final EventLoop loop;
    private final Set<StreamExchange> open = new LinkedHashSet<>();
    private Future<?> pending;
    private long pendingAt = NEVER;

    StreamWatch(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a stream that begins. */
    void add(StreamExchange stream) {
        open.add(stream);
    }

    /** Removes a stream that ended. */
    void remove(Exchange stream) {
        open.remove(stream);
    }

    /** Calls {@code action} with each open stream; it may end streams. */
    void forEach(Consumer<StreamExchange> action) {
        List.copyOf(open).forEach(action);
    }

    /** Looks after the streams at {@code atMillis} at the latest. */
    void lookAt(long atMillis) {
        if (atMillis >= pendingAt) {
            return;
        }
        if (pending != null) {
            pending.cancel(false);
        }
        pendingAt = atMillis;
        long pause = Math.max(SHORTEST_PAUSE_MILLIS, atMillis - EventLoop.nowMillis());
        pending = loop.after(pause, this::look);
    }

    private void look() {
        pending = null;
        pendingAt = NEVER;
        long now = EventLoop.nowMillis();
        long next = NEVER;
        for (StreamExchange s : List.copyOf(open)) {
            next = Math.min(next, s.watch(now));
        }
        lookAt(next);
    }
}
