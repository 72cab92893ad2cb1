package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.edge.ForwardParameters;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.internal.traffic.CallPlacement;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.internal.traffic.PrefillRate;
import io.siskintrail.internal.traffic.RetryBudget;
import io.siskintrail.internal.traffic.StopPlan;
import io.siskintrail.internal.traffic.StreamPlacement;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Components and policies that the exchanges of an edge share. Confined to the event loop. */
final class EdgeContext {
    private static final System.Logger LOG = System.getLogger(EdgeContext.class.getName());

    /**
     * Maximum age of a byte received from an engine that shows that the engine is alive; the time
     * of a few stream events.
     */
    private static final long ALIVE_EVIDENCE_MILLIS = 150;

    private final EventLoop loop;
    private final TrafficProtocol protocol;
    private final EndpointPool pool;
    private final EndpointTable endpoints;
    private final EdgeStats stats;
    private final EdgeSettings settings;
    private final RegistryFollower registries;
    private final LoadExchange loads;
    private final QuarantineCoordinator quarantine;
    private final SplittableRandom random;
    private final CallPlacement calls;
    private final StreamPlacement streams;
    private final AdmissionQueues queues;
    private final Map<ServiceName, PrefillRate> prefillRates = new HashMap<>();
    private final StreamMonitor monitor;
    private final StopPlan stopPlan = new StopPlan();
    private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();

    EdgeContext(
            EventLoop loop,
            TrafficProtocol protocol,
            EndpointPool pool,
            EndpointTable endpoints,
            EdgeStats stats,
            EdgeSettings settings,
            RegistryFollower registries,
            long seed) {
        this.loop = loop;
        this.protocol = protocol;
        this.pool = pool;
        this.endpoints = endpoints;
        this.stats = stats;
        this.settings = settings;
        this.registries = registries;
        HostId localHost = new HostId(settings.host());
        this.loads = new LoadExchange(loop, localHost, registries::sendToRelay);
        this.quarantine = new QuarantineCoordinator(localHost, pool, registries);
        this.random = new SplittableRandom(seed);
        FailureDomain localDomain = new FailureDomain(settings.domain());
        this.calls = new CallPlacement(localDomain);
        this.streams = new StreamPlacement(localDomain, random::nextDouble);
        this.queues = new AdmissionQueues(loop, random::nextLong);
        this.monitor = new StreamMonitor(loop);
    }

    EventLoop loop() {
        return loop;
    }

    TrafficProtocol protocol() {
        return protocol;
    }

    EndpointPool pool() {
        return pool;
    }

    EndpointTable endpoints() {
        return endpoints;
    }

    EdgeStats stats() {
        return stats;
    }

    LoadExchange loads() {
        return loads;
    }

    QuarantineCoordinator quarantine() {
        return quarantine;
    }

    /** Returns the measured prefill rate of the engines of a service. */
    PrefillRate prefillRate(ServiceName service) {
        return prefillRates.computeIfAbsent(service, s -> new PrefillRate());
    }

    SplittableRandom random() {
        return random;
    }

    CallPlacement calls() {
        return calls;
    }

    StopPlan stopPlan() {
        return stopPlan;
    }

    StreamPlacement streams() {
        return streams;
    }

    /** Returns the queues of requests that wait for capacity. */
    AdmissionQueues queues() {
        return queues;
    }

    /** Returns the monitor of open streams. */
    StreamMonitor monitor() {
        return monitor;
    }

    /** Returns the retry budget of a service. */
    RetryBudget retryBudget(ServiceName service) {
        return retryBudgets.computeIfAbsent(
                service, s -> new RetryBudget(settings.retryRatio(), settings.retryWindowMillis()));
    }

    /** Returns this edge's share of the retry reserve that all edges share. */
    double retryReserve() {
        return settings.retryReserve() / registries.edgeCount();
    }

    /** Registers an exchange until it ends. */
    void add(Exchange exchange) {
        if (exchange instanceof StreamExchange stream) {
            monitor.add(stream);
        }
    }

    /** Removes an exchange that ended. */
    void remove(Exchange exchange) {
        monitor.remove(exchange);
    }

    /**
     * Handles a failed connection attempt to an engine. Its streams move only if the engine has
     * sent nothing recently either, because a lost SYN packet alone also fails a connection
     * attempt.
     */
    void handleConnectFailure(EndpointView engine, String cause) {
        long now = EventLoop.nowMillis();
        if (engine.health().wasActiveWithin(now, ALIVE_EVIDENCE_MILLIS)) {
            engine.health().recordFailure(now);
            LogEvent.info(LOG, "endpoint.doubted")
                    .with("endpoint", engine.record().id())
                    .with("heard_ms", now - engine.health().lastActivityAt())
                    .with("detail", cause)
                    .write();
            return;
        }
        handleUnreachableEngine(engine, "not connected: " + cause);
    }

    /** Marks an engine that is unreachable or silent and moves its streams to other engines. */
    void handleUnreachableEngine(EndpointView engine, String cause) {
        engine.health().recordUnreachable(EventLoop.nowMillis());
        quarantine.reportDeath(engine);
        pool.closeIdle(engine.record().address());
        moveStreams(engine, cause);
    }

    /** Pauses placement on an endpoint that another edge found dead. */
    void pauseReportedDead(EndpointId id) {
        EndpointView view = endpoints.get(id);
        if (view != null && !view.health().isInBackoff(EventLoop.nowMillis())) {
            view.health().recordUnreachable(EventLoop.nowMillis());
            monitor.forEach(stream -> stream.replaceLostCopy(view));
        }
    }

    /**
     * Moves the streams off an engine that has ended and replaces the KV cache copies that it held.
     */
    void moveStreams(EndpointView engine, String cause) {
        monitor.forEach(
                stream -> {
                    stream.handleEngineLoss(engine, cause);
                    stream.replaceLostCopy(engine);
                });
    }

    /** Returns {@code call} as the request to send under {@code parameters}. */
    EndpointRequest buildForwardedRequest(CallContext call, ForwardParameters parameters) {
        HttpHeaders clientHeaders = HopByHopHeaders.strip(call.headers());
        clientHeaders.remove(HttpHeaderNames.ACCEPT_ENCODING);
        HttpHeaders forwardedHeaders = new DefaultHttpHeaders();
        protocol.writeForwardedHeaders(
                clientHeaders, call.metadata(), parameters, forwardedHeaders);
        boolean hasBody = call.body().length > 0 || !"GET".equals(call.method());
        if (hasBody) {
            forwardedHeaders.set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return new EndpointRequest(call.method(), call.target(), forwardedHeaders, call.body());
    }
}
