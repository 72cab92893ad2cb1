package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.edge.EndpointResponse;
import io.siskintrail.edge.ForwardParameters;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.internal.traffic.admission.DrainingHosts;
import io.siskintrail.internal.traffic.admission.StopPlan;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.endpoint.PushBack;
import io.siskintrail.internal.traffic.placement.CallPlacement;
import io.siskintrail.internal.traffic.placement.CopyPolicy;
import io.siskintrail.internal.traffic.placement.DomainLosses;
import io.siskintrail.internal.traffic.placement.StreamPlacement;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Components and policies that the exchanges of an edge share. Confined to the event loop. */
final class EdgeContext {
    private static final System.Logger LOG = System.getLogger(EdgeContext.class.getName());

    /**
     * An engine that sent a byte within this time counts as alive; the time of a few stream events.
     */
    private static final long ALIVE_EVIDENCE_MILLIS = 150;

    /** Shortest time over which clients return when endpoints no longer push back. */
    private static final long MIN_RETURN_SPREAD_MILLIS = 100;

    private final EventLoop loop;
    private final TrafficProtocol protocol;
    private final EndpointPool pool;
    private final EndpointTable endpoints;
    private final EdgeStats stats;
    private final EdgeSettings settings;
    private final RegistryFollower registryFollower;
    private final LoadExchange loadExchange;
    private final CrashCoordinator crashes;
    private final SplittableRandom random;
    private final CallPlacement callPlacement;
    private final StreamPlacement streamPlacement;
    private final AdmissionQueues queues;
    private final SharedQueues sharedQueues;
    private final FailureDomain localDomain;
    private final Map<ServiceName, CopyPolicy> copyPolicies = new HashMap<>();
    private final StreamMonitor monitor;
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private final StopPlan stopPlan = new StopPlan();
    private final DrainingHosts drainingHosts = new DrainingHosts();
    private final ResponseMemory responseMemory = new ResponseMemory();
    private final RetryBudgets retryBudgets;
    private final DomainLosses domainLosses = new DomainLosses();

    /** Until when an endpoint may be suspected, in monotonic milliseconds. */
    private long suspicionUntilMillis = Long.MIN_VALUE;

    EdgeContext(
            EventLoop loop,
            TrafficProtocol protocol,
            EndpointPool pool,
            EndpointTable endpoints,
            EdgeStats stats,
            EdgeSettings settings,
            RegistryFollower registryFollower,
            long seed) {
        this.loop = loop;
        this.protocol = protocol;
        this.pool = pool;
        this.endpoints = endpoints;
        this.stats = stats;
        this.settings = settings;
        this.registryFollower = registryFollower;
        HostId localHost = new HostId(settings.host());
        this.retryBudgets =
                new RetryBudgets(
                        settings,
                        registryFollower::edgeCount,
                        this::hasManyEdges,
                        this::openStreamsShare,
                        stats);
        this.loadExchange =
                new LoadExchange(loop, localHost, registryFollower::sendToRelay, retryBudgets);
        this.random = new SplittableRandom(seed);
        this.crashes =
                new CrashCoordinator(
                        loop,
                        localHost,
                        pool,
                        registryFollower,
                        random::nextDouble,
                        this::endUnansweredRequests);
        this.localDomain = new FailureDomain(settings.domain());
        this.callPlacement = new CallPlacement(localDomain);
        this.streamPlacement = new StreamPlacement(localDomain, random::nextDouble);
        this.queues = new AdmissionQueues(loop, random::nextLong);
        this.sharedQueues = new SharedQueues(this, registryFollower, settings);
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

    LoadExchange loadExchange() {
        return loadExchange;
    }

    CrashCoordinator crashes() {
        return crashes;
    }

    /** Returns the memory for the response bodies that attempts buffer. */
    ResponseMemory responseMemory() {
        return responseMemory;
    }

    /** Returns which streams of a service get a copy; never null. */
    CopyPolicy copyPolicy(ServiceName service) {
        return copyPolicies.computeIfAbsent(service, s -> new CopyPolicy());
    }

    /** Returns the number of edges, this one included. */
    int edgeCount() {
        return registryFollower.edgeCount();
    }

    /** Returns whether an endpoint is in the failure domain of this edge. */
    boolean isLocal(EndpointView endpoint) {
        return endpoint.record().domain().equals(localDomain);
    }

    SplittableRandom random() {
        return random;
    }

    CallPlacement callPlacement() {
        return callPlacement;
    }

    StopPlan stopPlan() {
        return stopPlan;
    }

    /** Returns what is known of the edges that drain, this one included. */
    DrainingHosts drainingHosts() {
        return drainingHosts;
    }

    /** Returns the Retry-After of a request that this edge turns away because it drains. */
    long drainingRetryMillis() {
        return drainingHosts.retryAfterMillis(EventLoop.nowMillis(), registryFollower.edgeCount());
    }

    /** Tells the other edges that this one drains. */
    void announceDraining(long expectedMillis) {
        HostId localHost = new HostId(settings.host());
        drainingHosts.recordDraining(localHost, EventLoop.nowMillis(), expectedMillis);
        registryFollower.sendToRelay(new RegistryMessage.Draining(localHost, expectedMillis));
    }

    StreamPlacement streamPlacement() {
        return streamPlacement;
    }

    /** Returns the queues of requests that wait for capacity. */
    AdmissionQueues queues() {
        return queues;
    }

    /** Returns the requests that wait in one order over all edges. */
    SharedQueues sharedQueues() {
        return sharedQueues;
    }

    /** Returns the monitor of open streams. */
    StreamMonitor monitor() {
        return monitor;
    }

    /** Returns the retry budgets of the services. */
    RetryBudgets retryBudgets() {
        return retryBudgets;
    }

    /** Returns whether there are enough edges to decide by what they report to each other. */
    private boolean hasManyEdges() {
        return sharedQueues.isActive();
    }

    /** Returns this edge's share of the streams of all edges that are under way at a service. */
    private double openStreamsShare(ServiceName service) {
        long now = EventLoop.nowMillis();
        int remote = 0;
        for (EndpointView e : endpoints.ofService(service)) {
            remote += e.totalLoad(now).running() - e.running();
        }
        int local = monitor.streamsUnderWay(service);
        return local == 0 ? 0 : (double) local / (local + remote);
    }

    /** Adds an exchange that starts. */
    void add(Exchange exchange) {
        exchanges.add(exchange);
        if (exchange instanceof StreamExchange stream) {
            monitor.add(stream);
        }
    }

    /** Removes an exchange that ended. */
    void remove(Exchange exchange) {
        exchanges.remove(exchange);
        monitor.remove(exchange);
    }

    /**
     * Handles a failed connection attempt to an engine. Moves the streams of the engine only if the
     * engine has also sent nothing within {@link #ALIVE_EVIDENCE_MILLIS}, because a single lost SYN
     * packet is enough to fail a connection attempt.
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

    /**
     * Records what a response says of its endpoint: that it leaves, or that it wants no requests
     * for a while.
     */
    void recordSignals(EndpointView endpoint, EndpointResponse response, String requestId) {
        long now = EventLoop.nowMillis();
        if (response.leaving() && endpoint.markLeaving()) {
            LogEvent.info(LOG, "endpoint.leaving")
                    .with("endpoint", endpoint.record().id())
                    .with("incarnation", endpoint.record().incarnation())
                    .with("request", requestId)
                    .with("status", response.status())
                    .write();
            pool.closeIdle(endpoint.record().address());
            EndpointRecord draining = endpoint.record().with(EndpointState.DRAINING);
            registryFollower.sendToAll(new RegistryMessage.Endpoints(List.of(draining)));
        }
        if (response.pushesBack()) {
            endpoint.pushBack().record(now, response.retryAfterMillis(), endpoint.running() - 1);
            LogEvent.info(LOG, "endpoint.pushed-back")
                    .with("endpoint", endpoint.record().id())
                    .with("request", requestId)
                    .with("ms", response.retryAfterMillis())
                    .write();
        } else if (!response.notRun()) {
            endpoint.pushBack().recordAccepted(now);
        }
    }

    /** Counts a request that goes to another endpoint because one leaves or pushes back. */
    void recordDiverted(EndpointResponse response) {
        if (response.pushesBack() || response.leaving()) {
            String cause = response.pushesBack() ? "push-back" : "leaving";
            stats.increment("siskintrail_edge_diverted_total", "cause=\"%s\"".formatted(cause));
        }
    }

    /**
     * Returns after how many milliseconds a client may be served again because all endpoints of the
     * service push back; 0 if one does not. Spread at random, so that clients do not return at one
     * moment.
     */
    long pushBackMillis(ServiceName service) {
        long remaining =
                PushBack.remainingMillis(EventLoop.nowMillis(), endpoints.ofService(service));
        return remaining == 0
                ? 0
                : remaining + random.nextLong(MIN_RETURN_SPREAD_MILLIS + remaining / 4);
    }

    /**
     * Returns the engines of {@code service}, without those that may be lost together with others
     * of their failure domain unless there are no others.
     */
    Collection<EndpointView> engines(ServiceName service) {
        Collection<EndpointView> all = endpoints.ofService(service);
        long now = EventLoop.nowMillis();
        if (now >= suspicionUntilMillis) {
            return all;
        }
        List<EndpointView> others = all.stream().filter(e -> !e.health().isSuspect(now)).toList();
        return others.isEmpty() ? all : others;
    }

    /**
     * Records that an engine was lost, so that streams avoid the others of its failure domain for a
     * while. With few edges each one learns of a lost domain by its own streams.
     */
    void recordEngineLoss(EndpointView engine) {
        if (!retryBudgets.isPooled()) {
            return;
        }
        EndpointRecord lost = engine.record();
        long now = EventLoop.nowMillis();
        long until = now + domainLosses.recordLoss(lost.domain(), lost.id(), now);
        suspicionUntilMillis = Math.max(suspicionUntilMillis, until);
        for (EndpointView e : endpoints.ofService(lost.service())) {
            if (e.record().domain().equals(lost.domain())) {
                e.health().recordSuspicion(until);
            }
        }
    }

    /** Records that an engine broke a stream off, alone or since the engine was lost. */
    void recordBrokenStream(EndpointView engine) {
        engine.health().recordFailure(EventLoop.nowMillis());
        recordEngineLoss(engine);
    }

    /** Marks a silent or unreachable engine as unreachable and moves its streams elsewhere. */
    void handleUnreachableEngine(EndpointView engine, String cause) {
        recordEngineLoss(engine);
        engine.health().recordUnreachable(EventLoop.nowMillis());
        crashes.reportDeath(engine);
        pool.closeIdle(engine.record().address());
        moveStreams(engine, cause);
    }

    /**
     * Pauses placement on an endpoint that another edge reported as failed, and replaces the KV
     * cache copies held by the endpoint. Ignores an unknown endpoint and one that is already
     * paused.
     */
    void handleReportedDeath(EndpointId id) {
        EndpointView view = endpoints.get(id);
        if (view != null && !view.health().isInBackoff(EventLoop.nowMillis())) {
            recordEngineLoss(view);
            view.health().recordUnreachable(EventLoop.nowMillis());
            monitor.forEach(stream -> stream.replaceLostCopy(view));
        }
    }

    /** Moves the streams off a lost engine and replaces the KV cache copies held by the engine. */
    void moveStreams(EndpointView engine, String cause) {
        monitor.forEach(
                stream -> {
                    stream.handleEngineLoss(engine, cause);
                    stream.replaceLostCopy(engine);
                });
    }

    /** Ends the requests with a signature that begins to be refused and are not yet answered. */
    private void endUnansweredRequests(CrashSignature signature) {
        List.copyOf(exchanges)
                .forEach(exchange -> exchange.guard(() -> exchange.endIfRefused(signature)));
    }

    /** Builds the endpoint request for {@code call}, with headers for {@code parameters}. */
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
