package io.siskintrail.edge.internal;

import io.netty.channel.Channel;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.siskintrail.net.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * Reception of the requests of a client connection: those that wait for their turn, and the one of
 * which only a part has come. Confined to the event loop.
 */
final class RequestReception {
    /** Requests that may queue behind the current one before reading pauses. */
    private static final int MAX_PENDING = 4;

    /** Longest time in which a request is received; as long as the default deadline of a call. */
    private static final long MAX_RECEIVE_MILLIS = 60_000;

    private final Supplier<Channel> channel;
    private final Deque<ReceivedRequest> pending = new ArrayDeque<>();

    /** Whether the client has sent a part of a request. */
    private boolean used;

    /** Whether a part of a request has come of which the rest is still to come. */
    private boolean receiving;

    private long receivingSinceMillis;

    /** Whether nothing that still comes is read as a request. */
    private boolean ended;

    /**
     * Creates the reception of a connection of which nothing was read.
     *
     * @param channel returns the channel, once the connection is in its pipeline
     */
    RequestReception(Supplier<Channel> channel) {
        this.channel = channel;
    }

    /** Records that the first bytes of a request have come. */
    void start() {
        if (ended) {
            return;
        }
        used = true;
        receiving = true;
        receivingSinceMillis = EventLoop.nowMillis();
    }

    /** Queues a request that came whole; pauses reading if many wait. */
    void add(ReceivedRequest request) {
        receiving = false;
        pending.add(request);
        if (pending.size() > MAX_PENDING) {
            channel.get().config().setAutoRead(false);
        }
    }

    /** Queues the request in whose middle the input ended, to be answered in its turn. */
    void addBroken(ReceivedRequest request) {
        pending.add(request);
    }

    /** Takes the next request that waits, null if there is none. */
    ReceivedRequest poll() {
        return pending.poll();
    }

    /** Reads on after a pause. */
    void resumeReading() {
        channel.get().config().setAutoRead(true);
    }

    /** Forgets the requests that wait. */
    void clear() {
        pending.clear();
    }

    /** Discards what still comes; a disconnect is noticed as before. May be repeated. */
    void end() {
        if (ended) {
            return;
        }
        receiving = false;
        ended = true;
        channel.get().pipeline().addFirst(new DiscardingReader());
        resumeReading();
    }

    boolean isEnded() {
        return ended;
    }

    /** Returns whether the client has sent a part of a request since it connected. */
    boolean isUsed() {
        return used;
    }

    /** Returns whether a part of a request has come of which the rest is still to come. */
    boolean isReceiving() {
        return receiving;
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    int pendingRequests() {
        return pending.size();
    }

    /** Returns whether a client sends nothing more of its request, or took too long to send it. */
    boolean isTooSlow(IdleStateEvent idle) {
        return idle.state() == IdleState.READER_IDLE
                || EventLoop.nowMillis() - receivingSinceMillis > MAX_RECEIVE_MILLIS;
    }
}
