package io.siskintrail.edge.internal;

import io.siskintrail.edge.CopySource;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;

/**
 * Tracks the KV cache copies of a stream outside the engine that runs it: the copy that this engine
 * itself sends while it runs, and the follow-up copies that are made after the engine holding that
 * copy is lost. Confined to the event loop.
 */
final class StreamKvCacheCopies {
    private final EdgeContext edge;
    private final String requestId;
    private final ServiceName service;
    private final EngineSpec engine;
    private final long tokens;
    private KvCacheReplicator followUp;
    private EndpointView copyHolder;
    private CopySource source;

    /**
     * Creates the tracker of a stream without copies.
     *
     * @param engine the capacity data of the engines; null if the service has none
     * @param tokens the KV cache size of the stream, in tokens
     */
    StreamKvCacheCopies(
            EdgeContext edge,
            String requestId,
            ServiceName service,
            EngineSpec engine,
            long tokens) {
        this.edge = edge;
        this.requestId = requestId;
        this.service = service;
        this.engine = engine;
        this.tokens = tokens;
    }

    /** Returns the engine that is to hold the copy of a run at {@code target}; null for none. */
    EndpointView chooseHolder(EndpointView target) {
        if (engine == null || !engine.copiesMemory()) {
            return null;
        }
        return edge.streamPlacement()
                .chooseCopy(EventLoop.nowMillis(), edge.engines(service), engine, tokens, target);
    }

    /** Starts another copy of {@code running} if its copy was at {@code lostEngine}. */
    void replaceLost(StreamAttempt running, EndpointView lostEngine) {
        EndpointView holder = followUp == null ? running.copyHolder() : followUp.target();
        if (holder != lostEngine || running.engine() == lostEngine) {
            return;
        }
        stop(false);
        EndpointView target = chooseHolder(running.engine());
        if (target != null) {
            followUp = new KvCacheReplicator(edge, requestId, running.engine(), target, tokens);
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
            source = new CopySource(lostAttempt.copyHolder().record().address(), requestId);
        }
    }

    /** Discards the recorded copy, because it was used or was missing. */
    void discard() {
        copyHolder = null;
    }

    /**
     * Stops follow-up copying. The engine keeps the copied KV cache for a while unless {@code
     * frees}.
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

    /** Returns the identity of the recorded copy. */
    CopySource source() {
        return source;
    }
}
