package io.siskintrail.edge.internal;

import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.traffic.configuration.RouteTable;
import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Result;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.HttpService;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.registry.RegistryMessage;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Edge service: creates its components, connects them, and starts and stops them. */
public final class Edge implements Service, RegistryFollower.Listener {
    private static final System.Logger LOG = System.getLogger(Edge.class.getName());
    private static final int MAX_HTTP_REQUEST_BYTES = 1 << 10;
    private static final long CLEANUP_INTERVAL_MILLIS = 500;

    /** Time in which every live endpoint has reported; several report intervals. */
    private static final long ENDPOINT_REPORT_MILLIS = 4_000;

    /** Interval between full load reports; changes are reported at once. */
    private static final long LOAD_REPORT_INTERVAL_MILLIS = 4_000;

    /** Time after which another registry has taken over from one whose link closed. */
    private static final long REGISTRY_FAILOVER_MILLIS = 300;

    private static final long SHUTDOWN_POLL_MILLIS = 50;

    /** Time for sending the end of aborted streams to their clients, engines and other edges. */
    private static final long SHUTDOWN_FLUSH_MILLIS = 100;

    /** Longest further wait for answers that have not left; ends before the grace period does. */
    private static final long SHUTDOWN_ANSWERS_MILLIS = 100;

    /** Time before the end of the grace period at which running requests are aborted. */
    private static final long SHUTDOWN_RESERVE_MILLIS = 400;

    private final EventLoop loop;
    private final EdgeSettings settings;
    private final TrafficProtocol protocol;
    private final RegistryFollower registries;
    private final EndpointTable endpoints;
    private final EndpointPool pool;
    private final EdgeContext context;
    private final EdgeStats stats = new EdgeStats();
    private final ClientServer server;
    private final HttpService readiness;
    private final HttpService metrics;
    private RouteTable table;
    private long firstConfigurationAtMillis;
    private boolean stopping;
    private boolean terminating;

    /** Creates the components without starting them. */
    public Edge(EventLoop loop, EdgeSettings settings, TrafficProtocol protocol) {
        this.loop = loop;
        this.settings = settings;
        this.protocol = protocol;
        registries =
                new RegistryFollower(
                        loop,
                        new HostId(settings.host()),
                        settings.seeds(),
                        settings.linkPort(),
                        this);
        endpoints = new EndpointTable(this::handleEndpointGone);
        pool = new EndpointPool(loop, protocol);
        context =
                new EdgeContext(
                        loop,
                        protocol,
                        pool,
                        endpoints,
                        stats,
                        settings,
                        registries,
                        randomSeed(settings.host()));
        RequestFilters filters =
                new RequestFilters(protocol, () -> table, context.crashes(), context.stopPlan());
        server = new ClientServer(loop, settings.frontAddress(), context, filters, () -> table);
        readiness =
                new HttpService(
                        loop,
                        Addresses.parse(settings.readinessAddress()),
                        MAX_HTTP_REQUEST_BYTES,
                        this::answerReadiness);
        metrics =
                new HttpService(
                        loop,
                        Addresses.parse(settings.ip() + ":" + settings.metricsPort()),
                        MAX_HTTP_REQUEST_BYTES,
                        this::answerMetrics);
    }

    @Override
    public void start() {
        loop.call(this::startOnLoop);
        server.awaitListening();
        readiness.awaitListening();
        metrics.awaitListening();
        LogEvent.info(LOG, "edge.started")
                .with("host", settings.host())
                .with("front", settings.frontAddress())
                .with("domain", settings.domain())
                .write();
    }

    private void startOnLoop() {
        registries.start();
        server.start();
        readiness.start();
        metrics.start();
        loop.every(CLEANUP_INTERVAL_MILLIS, pool::closeExpired);
        loop.every(LOAD_REPORT_INTERVAL_MILLIS, context.loadExchange()::reportAll);
        loop.every(CLEANUP_INTERVAL_MILLIS, context.crashes()::expire);
    }

    /** Applies changed settings. Only the seeds can change while the process runs. */
    public void reload(EdgeSettings changed) {
        registries.addSeeds(changed.seeds());
    }

    /**
     * Reports not ready, drains the accepted requests, and returns when that is done or the grace
     * period is over.
     */
    @Override
    public void stop() {
        LogEvent.info(LOG, "edge.stopping")
                .with("host", settings.host())
                .with("grace_ms", settings.graceMillis())
                .with("out_of_rotation_ms", settings.outOfRotationMillis())
                .write();
        long now = EventLoop.nowMillis();
        long outOfRotationAtMillis = now + settings.outOfRotationMillis();
        long shutdownDeadlineMillis = now + settings.graceMillis() - SHUTDOWN_RESERVE_MILLIS;
        loop.execute(
                () -> {
                    stopping = true;
                    context.stopPlan().startDraining(outOfRotationAtMillis, shutdownDeadlineMillis);
                    context.announceDraining(
                            context.stopPlan().expectedDrainMillis(EventLoop.nowMillis()));
                    server.stop();
                });
        while (EventLoop.nowMillis() < shutdownDeadlineMillis && !terminateIfDrained()) {
            sleep(SHUTDOWN_POLL_MILLIS);
        }
        loop.execute(this::terminate);
        sleep(SHUTDOWN_FLUSH_MILLIS);
        long answersSentMillis = EventLoop.nowMillis() + SHUTDOWN_ANSWERS_MILLIS;
        while (EventLoop.nowMillis() < answersSentMillis && !checkOnLoop(server::isFinished)) {
            sleep(SHUTDOWN_POLL_MILLIS);
        }
        LogEvent.info(LOG, "edge.stopped").with("host", settings.host()).write();
    }

    @Override
    public void onConfiguration(long version, byte[] content) {
        Result<TrafficConfiguration> parsed = protocol.readConfiguration(content);
        if (parsed instanceof Result.Ok<TrafficConfiguration> ok) {
            if (table == null) {
                firstConfigurationAtMillis = EventLoop.nowMillis();
            }
            table = new RouteTable(ok.value());
            server.applyLimits();
            endpoints.applyServices(table.services());
            server.resumeHeld();
            LogEvent.info(LOG, "configuration.in-force")
                    .with("version", version)
                    .with("routes", ok.value().routes().size())
                    .with("api_key", table.requiresApiKey() ? "required" : "not-required")
                    .with("accounts", ok.value().authentication().accounts().size())
                    .write();
            return;
        }
        LogEvent.warning(LOG, "configuration.unreadable")
                .with("version", version)
                .with("detail", ((Result.Err<TrafficConfiguration>) parsed).failure().detail())
                .write();
    }

    @Override
    public void onEndpointReports(List<EndpointRecord> records) {
        if (endpoints.applyReports(records)) {
            context.queues().placeSoon();
        }
    }

    @Override
    public void onRollouts(List<RolloutRecord> rollouts) {
        endpoints.applyRollouts(rollouts);
    }

    @Override
    public void onRelayedMessage(RegistryMessage message) {
        if (message instanceof RegistryMessage.Loads loads) {
            context.sharedQueues().applyReports(loads, endpoints);
            context.loadExchange().applyReport(loads, endpoints);
            recordEndedHosts(loads);
        } else if (message instanceof RegistryMessage.Draining draining) {
            context.drainingHosts()
                    .recordDraining(draining.host(), EventLoop.nowMillis(), draining.millis());
        } else if (message instanceof RegistryMessage.Death death) {
            context.crashes().apply(death);
            context.handleReportedDeath(death.endpoint());
        } else {
            context.crashes().apply(message);
        }
    }

    /**
     * Records the edges of which a registry tells, when their link closed, that they have ended.
     */
    private void recordEndedHosts(RegistryMessage.Loads loads) {
        for (RegistryMessage.HostLoads host : loads.hosts()) {
            if (host.complete() && host.loads().isEmpty()) {
                context.drainingHosts().recordEnded(host.host(), EventLoop.nowMillis());
            }
        }
    }

    @Override
    public void onRegistryOpened(Consumer<RegistryMessage> registry) {
        context.crashes().refusals().forEach(registry);
    }

    @Override
    public void onRegistryLost() {
        loop.after(REGISTRY_FAILOVER_MILLIS, context.loadExchange()::reportAllAfterRegistryLoss);
    }

    private void handleEndpointGone(EndpointView endpoint) {
        pool.closeIdle(endpoint.record().address());
        context.moveStreams(endpoint, "left");
    }

    private boolean isReady() {
        return !stopping && table != null && (hasEndpoints() || hadTimeToReport());
    }

    /** Returns whether each service with a route has an endpoint. */
    private boolean hasEndpoints() {
        return table.routedServices().stream()
                .noneMatch(service -> endpoints.ofService(service).isEmpty());
    }

    /** Returns whether endpoints had time to report since the first configuration arrived. */
    private boolean hadTimeToReport() {
        return EventLoop.nowMillis() - firstConfigurationAtMillis > ENDPOINT_REPORT_MILLIS;
    }

    private void answerReadiness(HttpService.Call call, Consumer<HttpService.Answer> answer) {
        answer.accept(new HttpService.Answer(isReady() ? 200 : 503, "", new byte[0]));
    }

    private void answerMetrics(HttpService.Call call, Consumer<HttpService.Answer> answer) {
        long now = EventLoop.nowMillis();
        String gauges =
                """
                siskintrail_edge_ready %d
                siskintrail_edge_configuration_version %d
                siskintrail_edge_configuration_confirmed %d
                siskintrail_edge_registry_links %d
                siskintrail_edge_endpoints %d
                siskintrail_edge_endpoints_leaving %d
                siskintrail_edge_endpoints_pushing_back %d
                siskintrail_edge_running %d
                siskintrail_edge_connections_opened_total %d
                siskintrail_edge_probes_opened_total %d
                """
                        .formatted(
                                isReady() ? 1 : 0,
                                table == null ? 0 : table.version(),
                                registries.isConfigurationCurrent() ? 1 : 0,
                                registries.linkCount(),
                                endpoints.size(),
                                endpoints.count(EndpointView::isLeaving),
                                endpoints.count(e -> e.pushBack().isActive(now)),
                                server.openRequests(),
                                pool.openedConnections(),
                                pool.openedProbes());
        byte[] page =
                (gauges + context.sharedQueues().gauges() + stats.page())
                        .getBytes(StandardCharsets.UTF_8);
        answer.accept(new HttpService.Answer(200, "text/plain", page));
    }

    /** Terminates the client server if shutdown may complete; returns whether it did. */
    private boolean terminateIfDrained() {
        return checkOnLoop(
                () -> {
                    int unfinished = server.unfinishedConnections();
                    boolean mayTerminate =
                            context.stopPlan().mayTerminate(EventLoop.nowMillis(), unfinished);
                    if (mayTerminate) {
                        terminate();
                    }
                    return mayTerminate;
                });
    }

    /** Returns what a check on the event loop says; false if that takes long. */
    private boolean checkOnLoop(BooleanSupplier check) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(check.getAsBoolean()));
        try {
            return result.get(SHUTDOWN_POLL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (ExecutionException e) {
            throw new IllegalStateException("shutdown check failed on the event loop", e);
        }
    }

    private void terminate() {
        if (terminating) {
            return;
        }
        terminating = true;
        LogEvent.info(LOG, "edge.terminating")
                .with("host", settings.host())
                .with("connections", server.connections())
                .with("unfinished", server.unfinishedConnections())
                .with("open", server.openRequests())
                .with("unsent", server.unsentResponses())
                .write();
        server.terminate();
    }

    /** Returns a random seed that differs between hosts that start at the same moment. */
    private static long randomSeed(String host) {
        return System.nanoTime() ^ ((long) host.hashCode() << Integer.SIZE);
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
