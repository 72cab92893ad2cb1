package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;
import java.util.Set;

/** Input event of a {@link Dispatcher}. */
public sealed interface PolicyInput {

    /**
     * A request has arrived.
     *
     * @param request the request
     */
    record Submit(WorkRequest request) implements PolicyInput {}

    /**
     * The caller has disconnected: a waiting request is removed, a running one releases its slot.
     * The dispatcher does not cancel the running attempt; the sender of the input does.
     *
     * @param ticket id of the request, see {@link WorkRequest#ticket()}
     */
    record Cancel(long ticket) implements PolicyInput {}

    /**
     * A running request has generated more tokens.
     *
     * @param ticket id of the request, see {@link WorkRequest#ticket()}
     * @param outputTokens tokens generated since the last start or resumption
     */
    record Progress(long ticket, int outputTokens) implements PolicyInput {}

    /**
     * A running request has ended and its slot is free.
     *
     * @param ticket id of the request, see {@link WorkRequest#ticket()}
     * @param outcome result of the attempt
     * @param outputTokens tokens generated since the last start or resumption
     */
    record Finished(long ticket, Outcome outcome, int outputTokens) implements PolicyInput {}

    /**
     * A generation was suspended as requested by {@link PolicyEffect.Suspend}; the dispatcher
     * queues it again.
     *
     * @param ticket id of the request, see {@link WorkRequest#ticket()}
     * @param outputTokens tokens generated since the last start or resumption; the resumed attempt
     *     gets these tokens as part of its prompt
     */
    record Suspended(long ticket, int outputTokens) implements PolicyInput {}

    /**
     * An endpoint has announced itself for the first time or with changed properties.
     *
     * @param info the announced properties of the endpoint
     */
    record EndpointUp(EndpointInfo info) implements PolicyInput {}

    /**
     * An endpoint was removed. A separate {@link Finished} follows for each request that runs on
     * the endpoint.
     *
     * @param endpoint the endpoint
     */
    record EndpointGone(EndpointId endpoint) implements PolicyInput {}

    /**
     * An endpoint has reported its load; the report may be out of date.
     *
     * @param endpoint the endpoint
     * @param running number of requests, from all routers, that held a slot
     * @param waiting number of requests in the queue of the endpoint
     */
    record LoadReport(EndpointId endpoint, int running, int waiting) implements PolicyInput {}

    /**
     * An engine has changed its prefix cache.
     *
     * @param endpoint the engine
     * @param sequence number of the event; the events of an engine are numbered consecutively
     * @param stored hashes of blocks added to the cache
     * @param removed hashes of blocks removed from the cache
     */
    record CacheEvent(EndpointId endpoint, long sequence, long[] stored, long[] removed)
            implements PolicyInput {}

    /**
     * The whole prefix cache of an engine, requested by {@link PolicyEffect.RequestCacheSnapshot}.
     *
     * @param endpoint the engine
     * @param sequence number of the last event that the snapshot includes
     * @param blocks hashes of all cached blocks
     */
    record CacheSnapshot(EndpointId endpoint, long sequence, long[] blocks)
            implements PolicyInput {}

    /**
     * The set of live routers or the quorum has changed.
     *
     * @param routers the live routers, including this one
     * @param hasQuorum whether this router reaches a majority of all hosts; without a quorum, this
     *     router grants and renews no slot lease
     */
    record Peers(Set<HostId> routers, boolean hasQuorum) implements PolicyInput {}

    /**
     * A message from another router has arrived.
     *
     * @param from the sender
     * @param message the message
     */
    record FromPeer(HostId from, PolicyMessage message) implements PolicyInput {}

    /**
     * New rules are in force.
     *
     * @param rules the complete new rules
     */
    record RulesChanged(PolicyRules rules) implements PolicyInput {}

    /**
     * Time has passed. The caller of the dispatcher has to send a tick at least every {@link
     * Dispatcher#TICK_MILLIS} milliseconds.
     */
    record Tick() implements PolicyInput {}
}
