package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.placement.EngineSpeeds;
import io.siskintrail.internal.traffic.placement.PromptPrefill;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import java.util.Locale;
import java.util.Set;

/**
 * Selects the engines for one stream and predicts when they send its first event. Confined to the
 * event loop.
 */
final class EngineSelection {
    private final EdgeContext edge;
    private final CallContext call;
    private final ServiceName service;
    private final EngineSpec engine;
    private final long tokens;

    /**
     * Creates the selection for a stream.
     *
     * @param engine the capacity of the engines; null if the service has none
     * @param tokens the KV cache size of the stream, in tokens
     */
    EngineSelection(
            EdgeContext edge,
            CallContext call,
            ServiceName service,
            EngineSpec engine,
            long tokens) {
        this.edge = edge;
        this.call = call;
        this.service = service;
        this.engine = engine;
        this.tokens = tokens;
    }

    /**
     * Returns an engine for the next attempt, null if there is none.
     *
     * @param excluded an engine that must not be chosen, null for none
     * @param failed the ids of further engines that must not be chosen
     * @param freeTokens the memory that the engine must have free, in tokens
     * @param maxPrefillMillis the maximum remaining prefill time of an engine, in milliseconds
     */
    EndpointView choose(
            EndpointView excluded, Set<EndpointId> failed, long freeTokens, long maxPrefillMillis) {
        return edge.streamPlacement()
                .choose(
                        EventLoop.nowMillis(),
                        edge.engines(service),
                        engine,
                        freeTokens,
                        prefill(),
                        maxPrefillMillis,
                        edge.loadExchange().findEngineWithPrompt(call.metadata().prompt()),
                        candidate ->
                                candidate != excluded && !failed.contains(candidate.record().id()));
    }

    /** Returns the prefill of the whole prompt; none with few edges, which go by load alone. */
    PromptPrefill prefill() {
        if (!edge.sharedQueues().isActive()) {
            return PromptPrefill.NONE;
        }
        return new PromptPrefill(call.metadata().promptTokens(), speeds(), edge.edgeCount());
    }

    /** Returns the expected time to the first event on an idle median engine, in milliseconds. */
    long firstEventMillis() {
        double tokensPerMilli = speeds().medianTokensPerMilli(EventLoop.nowMillis());
        double prefillMillis = call.metadata().promptTokens() / tokensPerMilli;
        return (long) (prefillMillis + EngineSpeeds.firstEventOverheadMillis());
    }

    /**
     * Predicts the prefill of an attempt at {@code target}, and counts the placement.
     *
     * @param hasCopy whether the engine has a copy of the memory of the stream
     */
    ExpectedPrefill expect(EndpointView target, boolean hasCopy) {
        long now = EventLoop.nowMillis();
        EndpointId id = target.record().id();
        boolean hasPrompt =
                id.equals(edge.loadExchange().findEngineWithPrompt(call.metadata().prompt()));
        int unread = hasCopy || hasPrompt ? 0 : call.metadata().promptTokens();
        boolean isDecoding = target.totalLoad(now).running() > 0;
        long aheadMillis = target.totalLoad(now).prefillMillis();
        double ownMillis = speeds().prefillMillis(now, id, unread, isDecoding);
        String placement = hasPrompt ? "prompt" : edge.isLocal(target) ? "local" : "remote";
        edge.stats()
                .increment(
                        "siskintrail_edge_placements_total",
                        "reason=\"%s\"".formatted(hasCopy ? "copy" : placement));
        return new ExpectedPrefill(
                unread,
                speeds().prefilledTokens(now, id, aheadMillis, isDecoding),
                isDecoding,
                (long) ownMillis,
                aheadMillis + ownMillis + EngineSpeeds.firstEventOverheadMillis());
    }

    /** Records that {@code target} answered that it did not run an attempt. */
    void recordNotRun(EndpointView target) {
        if (edge.sharedQueues().isActive()) {
            target.recordRejection(EventLoop.nowMillis());
        }
        String state = target.record().state().name().toLowerCase(Locale.ROOT);
        edge.stats()
                .increment(
                        "siskintrail_edge_rejections_total",
                        "state=\"%s\"".formatted(target.isLeaving() ? "draining" : state));
    }

    private EngineSpeeds speeds() {
        return edge.loadExchange().speeds().of(service);
    }

    /**
     * What is expected of the prefill of an attempt when it is sent.
     *
     * @param unreadTokens the prompt tokens that the engine has yet to prefill
     * @param aheadTokens the prompt tokens of other requests that it prefills before
     * @param decoding whether it generates for other streams
     * @param prefillMillis the time that its own prefill takes, in milliseconds
     * @param firstEventMillis the time to the first event, in milliseconds
     */
    record ExpectedPrefill(
            int unreadTokens,
            double aheadTokens,
            boolean decoding,
            long prefillMillis,
            double firstEventMillis) {}
}
