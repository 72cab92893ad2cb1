package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.configuration.Route;
import io.siskintrail.internal.traffic.configuration.RouteKind;
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
    /** Maximum fraction of a target latency that queued prefills may take before a request. */
    private static final double PREFILL_FRACTION = 0.3;

    /**
     * Number of edges from which on all streams of a service share the lowest limit of queued
     * prefills. With fewer, each edge sees enough of the load for the limit of its route.
     */
    private static final int SHARED_LIMIT_EDGES = 16;

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
     */
    EndpointView choose(EndpointView excluded, Set<EndpointId> failed) {
        return edge.streamPlacement()
                .choose(
                        EventLoop.nowMillis(),
                        edge.endpoints().ofService(service),
                        engine,
                        tokens,
                        prefill(),
                        maxPrefillMillis(),
                        edge.loadExchange().findEngineWithPrompt(call.metadata().prompt()),
                        candidate ->
                                candidate != excluded && !failed.contains(candidate.record().id()));
    }

    /** Returns the prefill of the whole prompt. */
    PromptPrefill prefill() {
        return new PromptPrefill(call.metadata().promptTokens(), speeds(), edge.edgeCount());
    }

    /**
     * Returns the maximum remaining prefill time of an engine that a stream may be placed on, in
     * milliseconds. With many edges it is the same for all routes to the service, as otherwise the
     * less urgent ones fill the engines beyond what the more urgent ones accept.
     */
    long maxPrefillMillis() {
        long target = call.route().targetLatencyMillis();
        if (edge.edgeCount() >= SHARED_LIMIT_EDGES) {
            target =
                    call.table().routesTo(service).stream()
                            .filter(route -> route.kind() == RouteKind.STREAM)
                            .mapToLong(Route::targetLatencyMillis)
                            .filter(millis -> millis > 0)
                            .reduce(target, Math::min);
        }
        return (long) (PREFILL_FRACTION * target);
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
        target.recordRejection(EventLoop.nowMillis());
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
