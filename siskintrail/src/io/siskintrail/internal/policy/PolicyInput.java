package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;
import java.util.Set;

/** What can happen to a {@link Dispatcher}. */
public sealed interface PolicyInput {

    /**
     * A request has arrived.
     *
     * @param request the request
     */
    record Submit(WorkRequest request) implements PolicyInput {}

    /**
     * The caller has left: a waiting request is forgotten, a running one gives its slot back. Its
     * attempt has to be cancelled by the sender of this input.
     *
     * @param ticket the request
     */
    record Cancel(long ticket) implements PolicyInput {}

    /**
     * A running request has generated more tokens.
     *
     * @param ticket the request
     * @param outputTokens generated since this start
     */
    record Progress(long ticket, int outputTokens) implements PolicyInput {}

    /**
     * A running request has ended and its slot is free.
     *
     * @param ticket the request
     * @param outcome how it ended
     * @param outputTokens generated since this start
     */
    record Finished(long ticket, Outcome outcome, int outputTokens) implements PolicyInput {}

    /**
     * A generation was suspended as asked by {@link PolicyEffect.Suspend}; the dispatcher queues it
     * again by itself.
     *
     * @param ticket the request
     * @param outputTokens generated since this start, now part of what has to be read again
     */
    record Suspended(long ticket, int outputTokens) implements PolicyInput {}

    /**
     * An endpoint has announced itself or changed.
     *
     * @param info what it says of itself
     */
    record EndpointUp(EndpointInfo info) implements PolicyInput {}

    /**
     * An endpoint is gone. The requests on it end by {@link Finished}, one by one.
     *
     * @param endpoint the endpoint
     */
    record EndpointGone(EndpointId endpoint) implements PolicyInput {}

    /**
     * An endpoint has told its load, some time ago.
     *
     * @param endpoint the endpoint
     * @param running requests that held a slot, of all routers
     * @param waiting requests in the endpoint's own queue
     */
    record LoadReport(EndpointId endpoint, int running, int waiting) implements PolicyInput {}

    /**
     * An engine has changed its prefix cache.
     *
     * @param endpoint the engine
     * @param sequence counts the events of this engine without gaps
     * @param stored hashes of blocks that are cached now
     * @param removed hashes of blocks that are cached no more
     */
    record CacheEvent(EndpointId endpoint, long sequence, long[] stored, long[] removed)
            implements PolicyInput {}

    /**
     * An engine's whole prefix cache, asked for by {@link PolicyEffect.RequestCacheSnapshot}.
     *
     * @param endpoint the engine
     * @param sequence the last event that the snapshot contains
     * @param blocks hashes of all blocks
     */
    record CacheSnapshot(EndpointId endpoint, long sequence, long[] blocks)
            implements PolicyInput {}

    /**
     * The set of live routers has changed.
     *
     * @param routers the live ones, this one included
     * @param quorate whether this router is in touch with a majority of all hosts; without it, no
     *     slot lease is granted or renewed
     */
    record Peers(Set<HostId> routers, boolean quorate) implements PolicyInput {}

    /**
     * A message of another router.
     *
     * @param from the sender
     * @param message the message
     */
    record FromPeer(HostId from, PolicyMessage message) implements PolicyInput {}

    /**
     * New rules are in force.
     *
     * @param rules all of them
     */
    record RulesChanged(PolicyRules rules) implements PolicyInput {}

    /** Time has passed; to be given at least every {@link Dispatcher#TICK_MILLIS}. */
    record Tick() implements PolicyInput {}
}
