package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.admission.ReleaseRate;
import io.siskintrail.internal.traffic.admission.WaitingRoom;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * Queues requests until their service has capacity, then places them. A timer runs only while a
 * request waits. Confined to the event loop.
 */
final class AdmissionQueues {
    /** Starts per second that a service is assumed to allow before the first request has ended. */
    private static final double INITIAL_STARTS_PER_SECOND = 4;

    /** Time over which edges spread what they place on an engine that came back. */
    private static final long SPREAD_MILLIS = 150;

    /** Polling interval for capacity; other edges release some without notifying this one. */
    private static final long POLL_INTERVAL_MILLIS = 40;

    private final EventLoop loop;
    private final LongUnaryOperator random;
    private final Map<ServiceName, WaitingRoom<Exchange>> queues = new HashMap<>();
    private boolean pollScheduled;

    /**
     * Creates empty queues.
     *
     * @param random returns a uniform number from 0 (inclusive) to its argument (exclusive)
     */
    AdmissionQueues(EventLoop loop, LongUnaryOperator random) {
        this.loop = loop;
        this.random = random;
    }

    /**
     * Queues a request if it can start in time.
     *
     * @param latestStartMillis until when a start is of use, in monotonic milliseconds
     * @return the queue entry, or null if the forecast start is too late
     */
    WaitingRoom.Waiting<Exchange> enqueue(Exchange exchange, int rank, long latestStartMillis) {
        WaitingRoom.Waiting<Exchange> entry =
                queue(exchange.service)
                        .tryEnqueue(EventLoop.nowMillis(), exchange, rank, latestStartMillis);
        if (entry != null) {
            schedulePoll();
        }
        return entry;
    }

    /** Removes an entry from its queue. */
    void remove(ServiceName service, WaitingRoom.Waiting<Exchange> entry) {
        queue(service).remove(entry);
    }

    /** Returns the expected wait of a new request with {@code rank}, in milliseconds. */
    long forecastMillis(ServiceName service, int rank) {
        return (long) queue(service).expectedWaitMillis(EventLoop.nowMillis(), rank);
    }

    /** Returns whether requests wait for capacity of a service. */
    boolean hasWaiting(ServiceName service) {
        return queue(service).size() > 0;
    }

    /** Records that capacity for one request became free, and places waiting requests. */
    void releaseOne(ServiceName service) {
        queue(service).recordRelease(EventLoop.nowMillis());
        loop.execute(this::place);
    }

    /**
     * Places waiting requests after a random delay, since all edges learn of new capacity at once.
     */
    void placeSoon() {
        if (hasWaiting()) {
            loop.after(random.applyAsLong(SPREAD_MILLIS), this::place);
        }
    }

    private WaitingRoom<Exchange> queue(ServiceName service) {
        return queues.computeIfAbsent(
                service, s -> new WaitingRoom<>(new ReleaseRate(INITIAL_STARTS_PER_SECOND)));
    }

    private boolean hasWaiting() {
        return queues.values().stream().anyMatch(queue -> queue.size() > 0);
    }

    private void schedulePoll() {
        if (!pollScheduled) {
            pollScheduled = true;
            loop.after(POLL_INTERVAL_MILLIS, this::poll);
        }
    }

    private void poll() {
        pollScheduled = false;
        place();
        if (hasWaiting()) {
            schedulePoll();
        }
    }

    private void place() {
        List.copyOf(queues.values()).forEach(this::placeFirst);
    }

    /**
     * Places the first waiting request of a queue. Only one per call, because other edges place
     * requests at the same time and their load reports arrive slightly later.
     */
    private void placeFirst(WaitingRoom<Exchange> queue) {
        queue.removeTooLate(EventLoop.nowMillis()).forEach(Exchange::endQueued);
        Exchange first = queue.peekFirst();
        if (first != null) {
            first.tryPlaceQueued();
        }
    }
}
