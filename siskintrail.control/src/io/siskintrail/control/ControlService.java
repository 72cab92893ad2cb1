package io.siskintrail.control;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import io.siskintrail.control.internal.configuration.ConfigurationService;
import io.siskintrail.control.internal.configuration.ControlLog;
import io.siskintrail.control.internal.replica.ReplicatedControlLog;
import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.HttpAddress;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.OperatorTokens;
import io.siskintrail.service.Service;
import io.siskintrail.wire.ThriftPeerTransport;

/** A control replica in this process. */
public final class ControlService implements Service {
    private static final System.Logger LOG = System.getLogger(ControlService.class.getName());
    private static final int MAX_BODY_BYTES = 8 * RulesParser.MAX_CHARACTERS;

    private final ControlSettings settings;
    private final ControlLoop loop = new ControlLoop("control");
    private ThriftPeerTransport transport;
    private ControlLog log;
    private ConfigurationService configuration;
    private ApplicationContext context;
    private EmbeddedServer server;

    /** Prepares a control replica. */
    public ControlService(ControlSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start() {
        transport =
                new ThriftPeerTransport(
                        settings.hostId(),
                        Addresses.parse(settings.peerAddress()),
                        settings.sharedKey());
        settings.replicas().forEach(p -> addPeer(p.info()));
        settings.routers().forEach(p -> addPeer(p.info()));
        log = ReplicatedControlLog.open(settings, transport, loop);
        configuration =
                new ConfigurationService(
                        log.client(), transport, loop, log::lease, settings.routerHosts());
        configuration.onChange(this::addPeers);
        transport.start();
        log.start();
        configuration.start();
        context =
                ApplicationContext.builder()
                        .properties(
                                HttpAddress.parse(settings.httpAddress())
                                        .serverProperties("control", MAX_BODY_BYTES))
                        .singletons(configuration, log, new OperatorTokens(settings.operators()))
                        .start();
        server = context.getBean(EmbeddedServer.class).start();
        LogEvent.info(LOG, "control.started")
                .with("host", settings.host())
                .with("http", server.getPort())
                .write();
    }

    private void addPeer(HostInfo host) {
        transport.addPeer(host.id(), Addresses.parse(host.peerAddress()));
    }

    private void addPeers(Configuration next) {
        next.hosts().forEach(this::addPeer);
    }

    @Override
    public void stop() {
        server.stop();
        context.close();
        configuration.stop();
        log.stop();
        transport.close();
        loop.stop();
        LogEvent.info(LOG, "control.stopped").with("host", settings.host()).write();
    }

    /** Returns the id of this process. */
    public HostId hostId() {
        return settings.hostId();
    }

    /** Returns {@code ip:port} of the administration API. */
    public String httpAddress() {
        return HttpAddress.parse(settings.httpAddress()).at(server.getPort());
    }
}
