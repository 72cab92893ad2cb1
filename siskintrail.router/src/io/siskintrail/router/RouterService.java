package io.siskintrail.router;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.FollowerSettings;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.router.internal.endpoint.EngineClient;
import io.siskintrail.router.internal.filter.AuthenticateFilter;
import io.siskintrail.router.internal.filter.CurrencyFilter;
import io.siskintrail.router.internal.filter.IdentifyFilter;
import io.siskintrail.router.internal.filter.RequestChain;
import io.siskintrail.router.internal.rules.RulesFollower;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.rules.StandaloneRules;
import io.siskintrail.router.internal.stream.Generations;
import io.siskintrail.router.internal.stream.StreamFilter;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.Addresses;
import io.siskintrail.wire.ThriftPeerTransport;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;

/** A router in this process: the HTTP server and everything behind it. */
public final class RouterService implements Service {
    private static final System.Logger LOG = System.getLogger(RouterService.class.getName());

    private final RouterSettings settings;
    private final EndpointDirectory directory = new EndpointDirectory();
    private final ControlLoop loop = new ControlLoop("router-control");
    private ThriftPeerTransport transport;
    private RulesFollower follower;
    private ApplicationContext context;
    private EmbeddedServer server;
    private EngineClient engines;

    /** Prepares a router. */
    public RouterService(RouterSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start() {
        RulesView rules = startRules();
        engines = new EngineClient();
        Generations generations = new Generations(directory, engines);
        RequestChain chain =
                new RequestChain(
                        List.of(
                                new CurrencyFilter(rules),
                                new AuthenticateFilter(new ApiKeys(settings.accounts())),
                                new IdentifyFilter(settings.limits(), directory),
                                new StreamFilter(generations)));
        context =
                ApplicationContext.builder()
                        .properties(httpProperties())
                        .singletons(settings, chain, directory, rules)
                        .start();
        server = context.getBean(EmbeddedServer.class).start();
        LogEvent.info(LOG, "router.started")
                .with("host", settings.host())
                .with("domain", settings.domain())
                .with("http", httpAddress())
                .write();
    }

    private RulesView startRules() {
        if (settings.controlHosts().isEmpty()) {
            LogEvent.warning(LOG, "router.without.control").with("host", settings.host()).write();
            return new StandaloneRules();
        }
        transport =
                new ThriftPeerTransport(
                        settings.hostId(),
                        Addresses.parse(settings.peerAddress()),
                        settings.sharedKey());
        settings.controlHosts().forEach(this::addPeer);
        settings.peers().forEach(this::addPeer);
        List<HostId> controls =
                settings.controlHosts().stream().map(p -> new HostId(p.host())).toList();
        follower =
                new RulesFollower(
                        FollowerSettings.of(
                                settings.hostId(), controls, new SecureRandom().nextLong()),
                        transport,
                        loop);
        follower.onChange(this::addPeers);
        transport.start();
        follower.start();
        return follower;
    }

    private void addPeer(RouterSettings.Peer peer) {
        transport.addPeer(new HostId(peer.host()), Addresses.parse(peer.peerAddress()));
    }

    private void addPeers(Configuration configuration) {
        for (HostInfo host : configuration.hosts()) {
            transport.addPeer(host.id(), Addresses.parse(host.peerAddress()));
        }
    }

    @Override
    public void stop() {
        server.stop();
        engines.close();
        context.close();
        if (follower != null) {
            follower.stop();
            transport.close();
        }
        loop.stop();
        LogEvent.info(LOG, "router.stopped").with("host", settings.host()).write();
    }

    /** Returns {@code ip:port} where the router listens for callers. */
    public String httpAddress() {
        return hostPart(settings.httpAddress()) + ":" + server.getPort();
    }

    private Map<String, Object> httpProperties() {
        String address = settings.httpAddress();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        return Map.of(
                "micronaut.server.host",
                hostPart(address),
                "micronaut.server.port",
                port == 0 ? -1 : port,
                "micronaut.server.max-request-size",
                settings.limits().bodyBytes(),
                "micronaut.server.netty.max-header-size",
                settings.limits().headerBytes(),
                "micronaut.application.name",
                "siskintrail-router",
                "endpoints.prometheus.sensitive",
                false,
                "endpoints.all.enabled",
                false,
                "endpoints.prometheus.enabled",
                true);
    }

    private static String hostPart(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }
}
