package io.siskintrail.edge.internal;

import io.netty.util.concurrent.Future;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Tracks the open streams and checks each when the silence of its engine can first be significant.
 * No timer runs while no stream is open. Confined to the event loop.
 */
final class StreamMonitor {
    /** Time of a check that is not scheduled. */
    static final long NEVER = Long.MAX_VALUE;

    /** Minimum interval between two checks; short compared with every silence limit. */
    private static final long MIN_INTERVAL_MILLIS = 15;

    private final EventLoop loop;
    private final Set<StreamExchange> open = new LinkedHashSet<>();
    private Future<?> pending;
    private long pendingAtMillis = NEVER;

    StreamMonitor(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a stream that starts. */
    void add(StreamExchange stream) {
        open.add(stream);
    }

    /** Removes a stream that ended. */
    void remove(Exchange stream) {
        open.remove(stream);
    }

    /** Returns the number of streams of {@code service} that run or are to be resumed. */
    int streamsUnderWay(ServiceName service) {
        int n = 0;
        for (StreamExchange stream : open) {
            n += stream.service.equals(service) && stream.isUnderWay() ? 1 : 0;
        }
        return n;
    }

    /** Calls {@code action} for each open stream; it may end streams. */
    void forEach(Consumer<StreamExchange> action) {
        List.copyOf(open).forEach(stream -> stream.guard(() -> action.accept(stream)));
    }

    /**
     * Schedules a check of all streams at {@code atMillis} at the latest, in monotonic
     * milliseconds.
     */
    void scheduleCheck(long atMillis) {
        if (atMillis >= pendingAtMillis) {
            return;
        }
        if (pending != null) {
            pending.cancel(false);
        }
        pendingAtMillis = atMillis;
        long delayMillis = Math.max(MIN_INTERVAL_MILLIS, atMillis - EventLoop.nowMillis());
        pending = loop.after(delayMillis, this::checkAll);
    }

    private void checkAll() {
        pending = null;
        pendingAtMillis = NEVER;
        long nowMillis = EventLoop.nowMillis();
        long nextCheckMillis = NEVER;
        for (StreamExchange stream : List.copyOf(open)) {
            nextCheckMillis = Math.min(nextCheckMillis, check(stream, nowMillis));
        }
        scheduleCheck(nextCheckMillis);
    }

    private static long check(StreamExchange stream, long nowMillis) {
        try {
            return stream.checkSilence(nowMillis);
        } catch (RuntimeException | Error e) {
            stream.fail(e);
            return NEVER;
        }
    }
}
