package io.siskintrail.router;

import io.micrometer.core.instrument.MeterRegistry;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.graceful.GracefulShutdownCapable;
import io.micronaut.runtime.server.EmbeddedServer;
import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.FollowerSettings;
import io.siskintrail.internal.generation.GenerationSettings;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.router.internal.endpoint.EngineClient;
import io.siskintrail.router.internal.filter.AuthenticateFilter;
import io.siskintrail.router.internal.filter.CurrencyFilter;
import io.siskintrail.router.internal.filter.IdentifyFilter;
import io.siskintrail.router.internal.filter.RequestChain;
import io.siskintrail.router.internal.generation.GenerationService;
import io.siskintrail.router.internal.generation.GenerationStats;
import io.siskintrail.router.internal.membership.MembershipService;
import io.siskintrail.router.internal.order.EndpointTurns;
import io.siskintrail.router.internal.order.OrderService;
import io.siskintrail.router.internal.order.ServiceCalls;
import io.siskintrail.router.internal.policy.PolicyMeters;
import io.siskintrail.router.internal.policy.PolicyService;
import io.siskintrail.router.internal.rules.Readiness;
import io.siskintrail.router.internal.rules.RulesFollower;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.stream.StreamFilter;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.HttpAddress;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.OperatorTokens;
import io.siskintrail.service.Service;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.control.RemoteControlClient;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A router in this process: the HTTP server and everything behind it. */
public final class RouterService implements Service {
    private static final System.Logger LOG = System.getLogger(RouterService.class.getName());
    private static final int MAX_STRIPES = 4;
    private static final long DRAIN_MILLIS = 30_000;
    private static final long BALANCER_MILLIS = 1_000;

    /** Longest wait of a stop for calls; all attempts of a repeatable call fit in. */
    private static final long CALLS_MILLIS = 20_000;

    private final RouterSettings settings;
    private final EndpointDirectory directory = new EndpointDirectory();
    private final ControlLoop loop = new ControlLoop("router-control");
    private final SecureRandom random = new SecureRandom();
    private ControlAccess control;
    private Readiness readiness;
    private ThriftPeerTransport transport;
    private RulesFollower follower;
    private MembershipService membership;
    private OrderService orders;
    private ServiceCalls services;
    private ApplicationContext context;
    private EmbeddedServer server;
    private EngineClient engines;
    private GenerationService generations;
    private final PolicyMeters meters = new PolicyMeters();
    private PolicyService policy;

    /** Prepares a router that reaches the control hosts of its settings. */
    public RouterService(RouterSettings settings) {
        this(settings, null);
    }

    /**
     * Prepares a router.
     *
     * @param settings its settings
     * @param control how it reaches the control state; null to go by the settings
     */
    public RouterService(RouterSettings settings, ControlAccess control) {
        this.settings = settings;
        this.control = control;
    }

    @Override
    public void start() {
        startTransport();
        RulesView rules = control.rules();
        readiness = new Readiness(rules);
        ApiKeys keys = new ApiKeys(settings.accounts());
        startOrders();
        generations.setRouters(routers());
        generations.start();
        policy.onGone(generations::endpointGone);
        policy.start();
        RequestChain chain =
                new RequestChain(
                        List.of(
                                new CurrencyFilter(rules),
                                new AuthenticateFilter(keys),
                                new IdentifyFilter(settings.limits(), directory, rules),
                                new StreamFilter(generations)));
        context =
                ApplicationContext.builder()
                        .properties(httpProperties())
                        .singletons(
                                new OperatorTokens(settings.operators()),
                                readiness,
                                settings,
                                chain,
                                directory,
                                rules,
                                keys,
                                services,
                                membership,
                                policy)
                        .start();
        context.findBean(MeterRegistry.class).ifPresent(meters::publishIn);
        server = context.getBean(EmbeddedServer.class).start();
        LogEvent.info(LOG, "router.started")
                .with("host", settings.host())
                .with("domain", settings.domain())
                .with("http", httpAddress())
                .write();
    }

    private void startTransport() {
        transport =
                new ThriftPeerTransport(
                        settings.hostId(),
                        Addresses.parse(settings.peerAddress()),
                        settings.sharedKey());
        settings.controlHosts().forEach(this::addPeer);
        settings.peers().forEach(this::addPeer);
        membership =
                new MembershipService(
                        settings.hostId(),
                        System.currentTimeMillis(),
                        random.nextLong(),
                        routerHosts(),
                        transport,
                        loop,
                        directory);
        prepareControl();
        engines = new EngineClient();
        policy =
                new PolicyService(
                        settings.hostId(),
                        System.currentTimeMillis(),
                        transport,
                        loop,
                        directory,
                        membership::liveHosts,
                        control.rules(),
                        meters);
        generations =
                new GenerationService(
                        GenerationSettings.defaults(),
                        Math.min(MAX_STRIPES, Runtime.getRuntime().availableProcessors()),
                        self(),
                        System.currentTimeMillis(),
                        transport,
                        policy,
                        engines);
        transport.start();
        if (follower != null) {
            follower.start();
        }
    }

    private Set<HostId> routerHosts() {
        Set<HostId> hosts = new HashSet<>();
        hosts.add(settings.hostId());
        settings.peers().forEach(p -> hosts.add(new HostId(p.host())));
        return hosts;
    }

    private void prepareControl() {
        if (control != null) {
            return;
        }
        if (settings.controlHosts().isEmpty()) {
            LogEvent.warning(LOG, "router.without.control").with("host", settings.host()).write();
            control = ControlAccess.alone();
            return;
        }
        List<HostId> controls =
                settings.controlHosts().stream().map(p -> new HostId(p.host())).toList();
        follower =
                new RulesFollower(
                        FollowerSettings.of(settings.hostId(), controls, random.nextLong()),
                        transport,
                        loop);
        follower.onChange(this::addPeers);
        control = new ControlAccess(connectControl(controls), follower);
    }

    private RemoteControlClient connectControl(List<HostId> controls) {
        RemoteControlClient client =
                new RemoteControlClient(
                        controls,
                        transport,
                        loop::execute,
                        ControlLoop::nowMillis,
                        random.nextLong());
        client.register();
        loop.every(RemoteControlClient.TICK_MILLIS, client::tick);
        return client;
    }

    private void startOrders() {
        EndpointTurns turns = new EndpointTurns(directory);
        orders =
                new OrderService(
                        settings.hostId(),
                        random.nextLong(),
                        control.client(),
                        loop,
                        turns,
                        turns::address);
        services = new ServiceCalls(control.rules(), orders, directory);
        membership.onDeath(orders::settle);
        membership.onDeath(generations::routerDown);
        orders.start();
        membership.start();
    }

    private void addPeer(RouterSettings.Peer peer) {
        transport.addPeer(new HostId(peer.host()), Addresses.parse(peer.peerAddress()));
    }

    private void addPeers(Configuration configuration) {
        for (HostInfo host : configuration.hosts()) {
            transport.addPeer(host.id(), Addresses.parse(host.peerAddress()));
        }
        Set<HostId> hosts = routerHosts();
        configuration.hosts().forEach(h -> hosts.add(h.id()));
        membership.setHosts(hosts);
        List<HostInfo> routers = new ArrayList<>(configuration.hosts());
        routers().stream()
                .filter(h -> !hosts(configuration).contains(h.id()))
                .forEach(routers::add);
        generations.setRouters(routers);
    }

    private static Set<HostId> hosts(Configuration configuration) {
        Set<HostId> ids = new HashSet<>();
        configuration.hosts().forEach(h -> ids.add(h.id()));
        return ids;
    }

    private HostInfo self() {
        return new HostInfo(
                settings.hostId(), new FailureDomain(settings.domain()), settings.peerAddress());
    }

    private List<HostInfo> routers() {
        List<HostInfo> hosts = new ArrayList<>();
        hosts.add(self());
        for (RouterSettings.Peer p : settings.peers()) {
            HostId id = new HostId(p.host());
            hosts.add(new HostInfo(id, new FailureDomain(p.domain()), p.peerAddress()));
        }
        return hosts;
    }

    @Override
    public void stop() {
        readiness.stop();
        awaitBalancer();
        generations.drain(DRAIN_MILLIS);
        awaitCalls();
        orders.stop();
        closeAll();
        LogEvent.info(LOG, "router.stopped").with("host", settings.host()).write();
    }

    /** Returns the bytes sent to other hosts since the start, without framing. */
    public long peerBytesSent() {
        return transport.bytesSent();
    }

    /** Returns the messages sent to other hosts since the start. */
    public long peerMessagesSent() {
        return transport.messagesSent();
    }

    /** Runs {@code task} on the control thread; a task that sleeps pauses this router. */
    public void onControlThread(Runnable task) {
        loop.execute(task);
    }

    /** Goes on as before while the balancer learns that this router is not ready. */
    private static void awaitBalancer() {
        try {
            Thread.sleep(BALANCER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops to listen and waits until all calls are answered, for a bounded time. */
    private void awaitCalls() {
        CompletionStage<?> answered =
                server instanceof GracefulShutdownCapable s
                        ? s.shutdownGracefully()
                        : CompletableFuture.completedStage(null);
        try {
            answered.toCompletableFuture().get(CALLS_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            LogEvent.warning(LOG, "router.calls.unanswered").with("cause", e).write();
        }
    }

    /** Stops at once, as the death of the process would: open orders stay as they are. */
    public void abort() {
        orders.abort();
        closeAll();
    }

    private void closeAll() {
        server.stop();
        generations.stop();
        policy.stop();
        engines.close();
        services.close();
        context.close();
        if (follower != null) {
            follower.stop();
        }
        membership.stop();
        transport.close();
        loop.stop();
    }

    /** Returns what the generations of this router cost so far. */
    public GenerationStats generationStats() {
        return generations.stats();
    }

    /** Returns {@code ip:port} where the router listens for callers. */
    public String httpAddress() {
        return HttpAddress.parse(settings.httpAddress()).at(server.getPort());
    }

    private Map<String, Object> httpProperties() {
        Map<String, Object> properties =
                HttpAddress.parse(settings.httpAddress())
                        .serverProperties("router", settings.limits().bodyBytes());
        properties.put("micronaut.server.netty.max-header-size", settings.limits().headerBytes());
        return properties;
    }
}
