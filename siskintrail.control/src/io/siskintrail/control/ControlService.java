package io.siskintrail.control;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.graceful.GracefulShutdownCapable;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A control replica in this process. */
public final class ControlService implements Service {
    private static final System.Logger LOG = System.getLogger(ControlService.class.getName());
    private static final int MAX_BODY_BYTES = 8 * RulesParser.MAX_CHARACTERS;

    /** Longest wait of a stop for calls; the commit of an edit and its coming into force fit in. */
    private static final long CALLS_MILLIS = 17_000;

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
        awaitCalls();
        server.stop();
        context.close();
        configuration.stop();
        log.stop();
        transport.close();
        loop.stop();
        LogEvent.info(LOG, "control.stopped").with("host", settings.host()).write();
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
            LogEvent.warning(LOG, "control.calls.unanswered").with("cause", e).write();
        }
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
