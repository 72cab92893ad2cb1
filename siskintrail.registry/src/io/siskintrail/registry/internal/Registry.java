package io.siskintrail.registry.internal;

import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.HttpService;
import io.siskintrail.net.Identity;
import io.siskintrail.net.Link;
import io.siskintrail.net.LinkListener;
import io.siskintrail.net.PeerRole;
import io.siskintrail.registry.RegistryProtocol;
import io.siskintrail.registry.RegistrySettings;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Puts the parts of a registry together and hands messages to them. */
public final class Registry implements Service, LinkListener {
    private static final System.Logger LOG = System.getLogger(Registry.class.getName());

    /** A configuration may be as large as what clients may send. */
    private static final int MAX_CALL_BYTES = 8 << 20;

    private static final long STATUS_MILLIS = 150;
    private static final long RENEWALS_MILLIS = 400;

    /** Time between two tellings of the known registries: a spare is to be heard by the leader. */
    private static final long ACQUAINT_MILLIS = 400;

    private static final long EXPIRE_MILLIS = 500;

    /** Time after which a host that was a registry once is no longer dialed. */
    private static final long FORGET_HOST_MILLIS = 60_000;

    /** Longest wait of a stop for open calls, which takes in the own time of most. */
    private static final long STOP_MILLIS = 2_000;

    /** Longest wait of a stop until the calls that it ends have their answer. */
    private static final long STOP_ANSWERS_MILLIS = 500;

    private static final long STOP_POLL_MILLIS = 10;

    private final EventLoop loop;
    private final RegistrySettings settings;
    private final HostId self;
    private final List<HostId> seeds;
    private final RegistryPeers peers;
    private final RegistryReplica replica;
    private final LogAccess log;
    private final RolloutDesk rollouts;
    private final EdgeFeed feed = new EdgeFeed();
    private final RefusalMemory refusals = new RefusalMemory();
    private final LoadRelay relay;
    private final Endpoints endpoints;
    private final HttpService calls;
    private final HttpService metrics;
    private WeakReference<byte[]> encodedContent = new WeakReference<>(null);
    private long encodedVersion;

    /** Opens the disk and prepares the parts. */
    public Registry(EventLoop loop, RegistrySettings settings, RegistryProtocol protocol) {
        this(loop, settings, protocol, ReplicaDisk.of(Path.of(settings.dataFolder())));
    }

    /** Prepares the parts; the registry keeps its log on {@code disk}. */
    Registry(
            EventLoop loop,
            RegistrySettings settings,
            RegistryProtocol protocol,
            ReplicaDisk disk) {
        this.loop = loop;
        this.settings = settings;
        self = linkHost(settings.ip());
        seeds = settings.seeds().stream().map(this::seedHost).toList();
        peers = new RegistryPeers(loop, new Identity(PeerRole.REGISTRY, self), this);
        replica =
                new RegistryReplica(
                        loop,
                        disk,
                        new FailureDomain(settings.domain()),
                        self,
                        settings.founding() ? seeds : List.of(),
                        settings.voters(),
                        peers,
                        this::tellStatus,
                        new SecureRandom().nextLong());
        log = new LogAccess(loop, replica, peers);
        rollouts = new RolloutDesk(protocol, replica, log);
        relay = new LoadRelay(loop, feed);
        endpoints = new Endpoints(settings.heartbeatMillis(), peers, feed);
        calls =
                new HttpService(
                        loop,
                        Addresses.parse(settings.callAddress()),
                        MAX_CALL_BYTES,
                        new CallDesk(protocol, replica, log, endpoints, rollouts));
        metrics =
                new HttpService(
                        loop,
                        Addresses.parse(settings.ip() + ":" + settings.metricsPort()),
                        0,
                        this::answerMetrics);
    }

    @Override
    public void start() {
        loop.call(this::startOnLoop);
        peers.awaitListening();
        calls.awaitListening();
        metrics.awaitListening();
        LogEvent.info(LOG, "registry.started")
                .with("host", settings.host())
                .with("links", self)
                .with("calls", settings.callAddress())
                .with("founding", settings.founding())
                .write();
    }

    /** Takes changed settings: only the seeds can change while the process runs. */
    public void reload(RegistrySettings next) {
        List<HostId> hosts = next.seeds().stream().map(this::seedHost).toList();
        loop.execute(() -> peers.add(hosts));
    }

    /**
     * Hands leadership on and returns when the open calls are answered. Those that take longer than
     * a bounded time are told that their outcome is not confirmed.
     */
    @Override
    public void stop() {
        LogEvent.info(LOG, "registry.stopping").with("host", settings.host()).write();
        loop.execute(replica::stop);
        if (!awaitCalls(STOP_MILLIS)) {
            loop.execute(log::stop);
            awaitCalls(STOP_ANSWERS_MILLIS);
        }
        LogEvent.info(LOG, "registry.stopped")
                .with("host", settings.host())
                .with("open", calls.openCalls())
                .write();
    }

    /** Returns whether all calls are answered within {@code millis}; then there are no others. */
    private boolean awaitCalls(long millis) {
        long deadline = EventLoop.nowMillis() + millis;
        AtomicBoolean ended = new AtomicBoolean();
        try {
            while (!ended.get() && EventLoop.nowMillis() < deadline) {
                loop.execute(() -> ended.set(calls.stopIfIdle()));
                TimeUnit.MILLISECONDS.sleep(STOP_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ended.get();
    }

    /** Returns what takes and ends rollouts; to be used on the event loop. */
    RolloutDesk rollouts() {
        return rollouts;
    }

    /** Lets go of the data folder; to be called when the event loop has ended. */
    public void closeDisk() {
        replica.closeDisk();
    }

    @Override
    public void opened(Link link) {
        if (link.role() == PeerRole.EDGE) {
            feed.opened(
                    link,
                    status(),
                    List.copyOf(endpoints.records()),
                    refusals.remaining(EventLoop.nowMillis()));
        } else {
            List<EndpointRecord> all = List.copyOf(endpoints.records());
            if (!all.isEmpty()) {
                link.send(
                        MessageKind.REGISTRY,
                        RegistryCodec.encode(new RegistryMessage.Endpoints(all)));
            }
        }
    }

    @Override
    public void received(Link link, MessageKind kind, byte[] body) {
        if (kind == MessageKind.CONSENSUS) {
            replica.receive(body);
        } else if (kind == MessageKind.REGISTRY) {
            receive(link, RegistryCodec.decode(body));
        }
    }

    @Override
    public void closed(Link link) {
        feed.closed(link);
        relay.closed(link);
    }

    private void startOnLoop() {
        peers.start();
        calls.start();
        metrics.start();
        peers.add(seeds);
        peers.add(replica.hosts());
        replica.start();
        loop.every(STATUS_MILLIS, this::tellStatus);
        loop.every(RENEWALS_MILLIS, endpoints::passRenewals);
        loop.every(ACQUAINT_MILLIS, () -> peers.broadcast(status()));
        loop.every(EXPIRE_MILLIS, () -> endpoints.expire(replica.isCurrent()));
    }

    private void receive(Link link, RegistryMessage message) {
        if (log.receive(link, message)) {
            return;
        }
        if (message instanceof RegistryMessage.Endpoints e) {
            endpoints.passedOn(e.records());
        } else if (message instanceof RegistryMessage.FetchAbove f) {
            sendContent(link, f.version());
        } else if (message instanceof RegistryMessage.Loads l) {
            relay.gather(link, l);
        } else if (message instanceof RegistryMessage.Death
                || message instanceof RegistryMessage.Draining
                || message instanceof RegistryMessage.Sound) {
            feed.broadcast(message);
        } else if (message instanceof RegistryMessage.Refusal r) {
            refusals.record(EventLoop.nowMillis(), r);
            feed.broadcast(r);
        } else if (message instanceof RegistryMessage.Status s) {
            peers.add(s.registries());
        }
    }

    private void sendContent(Link link, long above) {
        NewestConfiguration held = replica.configuration();
        if (held.version() > above) {
            link.send(MessageKind.REGISTRY, encodedContent(held));
        }
    }

    /** Returns the message with the configuration; all edges that ask share its bytes. */
    private byte[] encodedContent(NewestConfiguration held) {
        byte[] encoded = encodedVersion == held.version() ? encodedContent.get() : null;
        if (encoded == null) {
            encoded =
                    RegistryCodec.encode(
                            new RegistryMessage.Content(held.version(), held.content()));
            encodedContent = new WeakReference<>(encoded);
            encodedVersion = held.version();
        }
        return encoded;
    }

    private void tellStatus() {
        if (replica == null) {
            return;
        }
        peers.add(replica.hosts());
        peers.retain(replica.hosts(), EventLoop.nowMillis(), FORGET_HOST_MILLIS);
        feed.status(status());
    }

    private RegistryMessage.Status status() {
        TreeSet<HostId> hosts = new TreeSet<>(replica.hosts());
        hosts.addAll(peers.reachable());
        return new RegistryMessage.Status(
                replica.configuration().version(),
                replica.isCurrent(),
                new ArrayList<>(hosts),
                feed.count(),
                replica.rollouts().rollouts());
    }

    private void answerMetrics(HttpService.Call call, Consumer<HttpService.Answer> answer) {
        String text =
                """
                siskintrail_registry_term %d
                siskintrail_registry_leader %d
                siskintrail_registry_applied_index %d
                siskintrail_registry_configuration_version %d
                siskintrail_registry_current %d
                siskintrail_registry_edges %d
                siskintrail_registry_endpoints %d
                siskintrail_registry_files_aside %d
                siskintrail_registry_log_bytes %d
                siskintrail_registry_call_bytes %d
                siskintrail_registry_calls_waiting %d
                """
                        .formatted(
                                replica.term(),
                                replica.isLeader() ? 1 : 0,
                                replica.applied(),
                                replica.configuration().version(),
                                replica.isCurrent() ? 1 : 0,
                                feed.count(),
                                endpoints.records().size(),
                                replica.hasFilesAside() ? 1 : 0,
                                replica.logBytes(),
                                calls.bodyBytes(),
                                calls.waitingBodies());
        answer.accept(
                new HttpService.Answer(200, "text/plain", text.getBytes(StandardCharsets.UTF_8)));
    }

    private HostId seedHost(String callAddress) {
        return linkHost(Addresses.parse(callAddress).getHostString());
    }

    private HostId linkHost(String ip) {
        return new HostId(ip + ":" + settings.linkPort());
    }
}
