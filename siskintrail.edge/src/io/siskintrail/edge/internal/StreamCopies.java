package io.siskintrail.edge.internal;

import io.siskintrail.edge.CopySource;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.internal.traffic.EngineSpec;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;

/**
 * Knows where the memory of a stream is kept besides the engine that runs it: the copy that the
 * engine itself sends while it runs, and the ones that follow when the host of that is lost. Used
 * on the event loop.
 */
final class StreamCopies {
    private final EdgeParts edge;
    private final String requestId;
    private final ServiceName service;
    private final EngineSpec engine;
    private final long tokens;
    private FollowUpCopy followUp;
    private EndpointView resumeAt;
    private CopySource source;

    /**
     * Begins without a copy.
     *
     * @param engine the figures of the engines; null when the service has none
     * @param tokens the memory that the stream takes
     */
    StreamCopies(
            EdgeParts edge, String requestId, ServiceName service, EngineSpec engine, long tokens) {
        this.edge = edge;
        this.requestId = requestId;
        this.service = service;
        this.engine = engine;
        this.tokens = tokens;
    }

    /** Returns the engine that is to keep the copy of a run at {@code target}; null for none. */
    EndpointView choose(EndpointView target) {
        if (engine == null || !engine.copies()) {
            return null;
        }
        return edge.streams()
                .chooseCopy(
                        EventLoop.nowMillis(),
                        edge.endpoints().of(service),
                        engine,
                        tokens,
                        target);
    }

    /** Begins another copy of {@code running} if its copy was at {@code lostEngine}. */
    void lost(StreamAttempt running, EndpointView lostEngine) {
        EndpointView keeper = followUp == null ? running.copy() : followUp.target();
        if (keeper != lostEngine || running.engine() == lostEngine) {
            return;
        }
        stop(false);
        EndpointView target = choose(running.engine());
        if (target != null) {
            followUp = new FollowUpCopy(edge, requestId, running.engine(), target, tokens);
            followUp.start();
        }
    }

    /**
     * Remembers where the memory of a lost attempt is kept, if it can be: engines copy the memory
     * of a run from its first event on, so an attempt that was lost while its prompt was read has
     * none.
     */
    void remember(StreamAttempt from) {
        if (followUp != null && followUp.copied().isPresent()) {
            resumeAt = followUp.target();
            source = followUp.copied().get();
        } else if (from.copy() != null && from.hasEvents()) {
            resumeAt = from.copy();
            source = new CopySource(from.copy().record().address(), requestId);
        }
    }

    /** Forgets what was remembered: it was used, or was not there. */
    void forget() {
        resumeAt = null;
    }

    /** Ends copies that follow; what was copied stays for a while unless {@code frees}. */
    void stop(boolean frees) {
        if (followUp != null) {
            followUp.stop(frees);
            followUp = null;
        }
    }

    /** Returns whether the remembered copy is at {@code candidate}. */
    boolean isAt(EndpointView candidate) {
        return resumeAt == candidate;
    }

    /** Returns the engine with the remembered copy if it can be used now; null otherwise. */
    EndpointView usable() {
        if (resumeAt == null) {
            return null;
        }
        boolean there = edge.endpoints().of(service).contains(resumeAt);
        if (!there || resumeAt.health().isPaused(EventLoop.nowMillis())) {
            resumeAt = null;
        }
        return resumeAt;
    }

    /** Returns the name of the remembered copy. */
    CopySource source() {
        return source;
    }
}
