package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.ReleaseRate;
import io.siskintrail.internal.traffic.WaitingRoom;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * Lets requests wait for room at their services and places them when there is some. A timer runs
 * only while somebody waits. Used on the event loop.
 */
final class WaitingRooms {
    /** Starts a second that a service is assumed to allow before any end was seen. */
    private static final double INITIAL_STARTS_PER_SECOND = 4;

    /** Time over which edges spread what they place on an engine that came back. */
    private static final long SPREAD_MILLIS = 150;

    /** Pause between two looks for room; other edges leave some without a word to this one. */
    private static final long LOOK_MILLIS = 40;

    private final EventLoop loop;
    private final LongUnaryOperator random;
    private final Map<ServiceName, WaitingRoom<Exchange>> rooms = new HashMap<>();
    private boolean scheduled;

    /**
     * Makes rooms that are empty.
     *
     * @param random returns a uniform number from 0 to below its argument
     */
    WaitingRooms(EventLoop loop, LongUnaryOperator random) {
        this.loop = loop;
        this.random = random;
    }

    /**
     * Lets a request wait if it can start in time.
     *
     * @param latestStart until when a start is of use, in monotonic milliseconds
     * @return the place, or null when the forecast says that it is of no use
     */
    WaitingRoom.Waiting<Exchange> enter(Exchange exchange, int rank, long latestStart) {
        WaitingRoom.Waiting<Exchange> place =
                room(exchange.service).enter(EventLoop.nowMillis(), exchange, rank, latestStart);
        if (place != null) {
            lookLater();
        }
        return place;
    }

    /** Gives up a place. */
    void leave(ServiceName service, WaitingRoom.Waiting<Exchange> place) {
        room(service).leave(place);
    }

    /** Returns the expected wait in milliseconds of a newcomer with {@code rank}. */
    long forecastMillis(ServiceName service, int rank) {
        return (long) room(service).forecastMillis(EventLoop.nowMillis(), rank);
    }

    /** Notes that room for one request became free, and places who waits. */
    void released(ServiceName service) {
        room(service).released(EventLoop.nowMillis());
        loop.execute(this::place);
    }

    /** Places who waits after a random moment, since all edges learn of room at once. */
    void placeSoon() {
        if (anyoneWaits()) {
            loop.after(random.applyAsLong(SPREAD_MILLIS), this::place);
        }
    }

    private WaitingRoom<Exchange> room(ServiceName service) {
        return rooms.computeIfAbsent(
                service, s -> new WaitingRoom<>(new ReleaseRate(INITIAL_STARTS_PER_SECOND)));
    }

    private boolean anyoneWaits() {
        return rooms.values().stream().anyMatch(r -> r.size() > 0);
    }

    private void lookLater() {
        if (!scheduled) {
            scheduled = true;
            loop.after(LOOK_MILLIS, this::look);
        }
    }

    private void look() {
        scheduled = false;
        place();
        if (anyoneWaits()) {
            lookLater();
        }
    }

    private void place() {
        rooms.values().forEach(this::place);
    }

    /**
     * Places the first that waits. One at a time: other edges do the same at the same moment, and
     * what they placed is known a moment later.
     */
    private void place(WaitingRoom<Exchange> room) {
        room.removeHopeless(EventLoop.nowMillis()).forEach(Exchange::timeUp);
        Exchange first = room.first();
        if (first != null && first.placeWaiting()) {
            room.removeFirst();
        }
    }
}
