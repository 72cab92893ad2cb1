package io.siskintrail.edge.internal;

import io.siskintrail.edge.CopySource;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.configuration.Route;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.placement.CopyPolicy;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import java.util.Collection;
import java.util.IntSummaryStatistics;

/**
 * Tracks the KV cache copies of a stream outside the engine that runs it: the copy that this engine
 * itself sends while it runs, and the follow-up copies that are made after the engine holding that
 * copy is lost. Confined to the event loop.
 */
final class StreamKvCacheCopies {
    private final EdgeContext edge;
    private final CallContext call;
    private final EngineSelection selection;
    private final ServiceName service;
    private final EngineSpec engine;
    private final long tokens;
    private KvCacheReplicator followUp;
    private EndpointView copyHolder;
    private CopySource source;

    /** Removes the memory of the recorded copy from the load of its holder; null if not counted. */
    private Runnable releaseHeld;

    /**
     * Creates the tracker of a stream without copies.
     *
     * @param engine the capacity data of the engines; null if the service has none
     * @param tokens the KV cache size of the stream, in tokens
     */
    StreamKvCacheCopies(
            EdgeContext edge,
            CallContext call,
            ServiceName service,
            EngineSpec engine,
            long tokens,
            EngineSelection selection) {
        this.edge = edge;
        this.call = call;
        this.selection = selection;
        this.service = service;
        this.engine = engine;
        this.tokens = tokens;
    }

    /**
     * Returns the engine that is to hold the copy of a run at {@code target}; null for none, as
     * when memory is short and other streams gain more from a copy.
     *
     * @param lastEventId the last event that the client has, -1 if none
     */
    EndpointView chooseHolder(EndpointView target, long lastEventId) {
        if (engine == null || !engine.copiesMemory()) {
            return null;
        }
        long now = EventLoop.nowMillis();
        Collection<EndpointView> endpoints = edge.engines(service);
        boolean isMemoryShort =
                edge.sharedQueues().isActive() && CopyPolicy.isMemoryShort(now, endpoints, engine);
        long sentTokens = (lastEventId + 1) * engine.tokensPerEvent();
        int outputLeft = (int) Math.max(0, call.metadata().outputTokens() - sentTokens);
        if (!edge.copyPolicy(service).wantsCopy(isMemoryShort, isMostUrgent(), outputLeft)) {
            count("skipped");
            return null;
        }
        EndpointView holder =
                edge.streamPlacement()
                        .chooseCopy(now, endpoints, engine, tokens, selection.prefill(), target);
        count(holder == null ? "no-room" : "made");
        return holder;
    }

    private boolean isMostUrgent() {
        IntSummaryStatistics ranks =
                call.table().routesTo(service).stream().mapToInt(Route::rank).summaryStatistics();
        return call.rank() <= ranks.getMin() && call.rank() < ranks.getMax();
    }

    private void count(String result) {
        edge.stats().increment("siskintrail_edge_copies_total", "result=\"%s\"".formatted(result));
    }

    /** Starts another copy of {@code running} if its copy was at {@code lostEngine}. */
    void replaceLost(StreamAttempt running, EndpointView lostEngine, long lastEventId) {
        EndpointView holder = followUp == null ? running.copyHolder() : followUp.target();
        if (holder != lostEngine || running.engine() == lostEngine) {
            return;
        }
        stop(false);
        EndpointView target = chooseHolder(running.engine(), lastEventId);
        if (target != null) {
            followUp =
                    new KvCacheReplicator(edge, call.requestId(), running.engine(), target, tokens);
            followUp.start();
        }
    }

    /**
     * Records where a copy of a lost attempt is held, if there can be one. Engines copy the KV
     * cache of a run from its first event on, so an attempt that was lost during prefill has none.
     */
    void recordCopyOf(StreamAttempt lostAttempt) {
        if (followUp != null && followUp.copySource().isPresent()) {
            copyHolder = followUp.target();
            source = followUp.copySource().get();
        } else if (lostAttempt.copyHolder() != null && lostAttempt.hasEvents()) {
            copyHolder = lostAttempt.copyHolder();
            source = new CopySource(lostAttempt.copyHolder().record().address(), call.requestId());
        }
    }

    /** Discards the recorded copy, because it was used or was missing. */
    void discard() {
        copyHolder = null;
        release();
    }

    /**
     * Stops follow-up copying, and counts the memory of the recorded copy as used until the copy is
     * used or its engine drops it.
     */
    void hold() {
        stop(false);
        release();
        if (copyHolder == null) {
            return;
        }
        EndpointView holder = copyHolder;
        holder.beginCopy(tokens);
        edge.loadExchange().recordChange(holder);
        releaseHeld =
                () -> {
                    holder.endCopy(tokens);
                    edge.loadExchange().recordChange(holder);
                };
        Runnable held = releaseHeld;
        edge.loop()
                .after(
                        engine.copyRetentionMillis(),
                        () -> {
                            if (releaseHeld == held) {
                                release();
                            }
                        });
    }

    /** Returns the identity of the recorded copy, which a new attempt resumes from now. */
    CopySource use() {
        release();
        count("used");
        return source;
    }

    private void release() {
        if (releaseHeld != null) {
            Runnable held = releaseHeld;
            releaseHeld = null;
            held.run();
        }
    }

    /**
     * Stops follow-up copying. The engine keeps the copied KV cache for a while unless {@code
     * free}.
     */
    void stop(boolean free) {
        if (followUp != null) {
            followUp.stop(free);
            followUp = null;
        }
    }

    /** Returns whether the recorded copy is at {@code candidate}. */
    boolean isHeldBy(EndpointView candidate) {
        return copyHolder == candidate;
    }

    /** Returns the engine that holds the recorded copy if it is usable now, else null. */
    EndpointView usableHolder() {
        if (copyHolder == null) {
            return null;
        }
        boolean isKnown = edge.endpoints().ofService(service).contains(copyHolder);
        long now = EventLoop.nowMillis();
        boolean accepts = copyHolder.acceptsRequests(now) && !copyHolder.health().isInBackoff(now);
        if (!isKnown || !accepts) {
            copyHolder = null;
        }
        return copyHolder;
    }
}
