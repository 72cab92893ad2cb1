package io.siskintrail.edge.internal;

import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.Identity;
import io.siskintrail.net.Link;
import io.siskintrail.net.LinkDialer;
import io.siskintrail.net.LinkListener;
import io.siskintrail.net.PeerRole;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Follows the registries: keeps a link to each, receives endpoint changes from all of them, and
 * fetches a configuration from the first that has a newer one.
 */
final class RegistryFollower implements Service, LinkListener {
    private static final System.Logger LOG = System.getLogger(RegistryFollower.class.getName());

    /** Time after which an unanswered fetch is repeated at another registry. */
    private static final long FETCH_TIMEOUT_MILLIS = 400;

    private final EventLoop loop;
    private final Identity identity;
    private final List<String> seeds;
    private final int linkPort;
    private final Listener listener;
    private final Map<HostId, LinkDialer> dialers = new LinkedHashMap<>();
    private final Map<HostId, RegistryMessage.Status> statuses = new HashMap<>();
    private long configurationVersion;
    private long requestedVersion;
    private long requestedAtMillis;

    /** Receives what registries send, on the event loop. */
    interface Listener {

        /** Called with a configuration whose version is higher than all previous ones. */
        void onConfiguration(long version, byte[] content);

        /** Called with endpoint reports. */
        void onEndpointReports(List<EndpointRecord> records);

        /** Called with the newest rollout of each service that one registry holds. */
        void onRollouts(List<RolloutRecord> rollouts);

        /**
         * Called with a load report of other edges, or with another message that a registry relays.
         */
        void onRelayedMessage(RegistryMessage message);

        /** Called when the link to a registry opened; {@code registry} sends it messages. */
        void onRegistryOpened(Consumer<RegistryMessage> registry);

        /** Called when the link to a registry closed; messages sent to it may be lost. */
        void onRegistryLost();
    }

    RegistryFollower(
            EventLoop loop, HostId host, List<String> seeds, int linkPort, Listener listener) {
        this.loop = loop;
        this.identity = new Identity(PeerRole.EDGE, host);
        this.seeds = seeds;
        this.linkPort = linkPort;
        this.listener = listener;
    }

    @Override
    public void start() {
        addSeeds(seeds);
    }

    /** Starts to follow the registries at {@code callAddresses}; may be called on any thread. */
    void addSeeds(List<String> callAddresses) {
        List<HostId> hosts =
                callAddresses.stream()
                        .map(address -> Addresses.parse(address).getHostString() + ":" + linkPort)
                        .map(HostId::new)
                        .toList();
        loop.execute(() -> connect(hosts));
    }

    @Override
    public void stop() {
        dialers.values().forEach(LinkDialer::stop);
    }

    /**
     * Returns whether this edge has a configuration at least as new as that of a registry that
     * reports it is current.
     */
    boolean isConfigurationCurrent() {
        return statuses.values().stream()
                .anyMatch(status -> status.current() && status.version() <= configurationVersion);
    }

    /** Returns the number of edges, this one included, as far as known. */
    int edgeCount() {
        return Math.max(
                1,
                statuses.values().stream().mapToInt(RegistryMessage.Status::edges).max().orElse(1));
    }

    /** Returns the number of registries whose link is open and that have sent a status. */
    int linkCount() {
        return statuses.size();
    }

    /**
     * Sends a message that one registry relays to all edges; the message is lost if no link is
     * open. Edges choose the same registry if they can, which then batches the messages of many
     * edges into one message to each.
     */
    void sendToRelay(RegistryMessage message) {
        dialers.entrySet().stream()
                .filter(entry -> entry.getValue().link() != null)
                .min(Map.Entry.comparingByKey())
                .ifPresent(
                        entry ->
                                entry.getValue()
                                        .link()
                                        .send(MessageKind.REGISTRY, RegistryCodec.encode(message)));
    }

    /** Sends a message to each registry whose link is open. */
    void sendToAll(RegistryMessage message) {
        byte[] body = RegistryCodec.encode(message);
        dialers.values().stream()
                .map(LinkDialer::link)
                .filter(Objects::nonNull)
                .forEach(link -> link.send(MessageKind.REGISTRY, body));
    }

    @Override
    public void opened(Link link) {
        if (statuses.isEmpty()) {
            LogEvent.info(LOG, "registry.regained").with("registry", link.peer()).write();
        }
        listener.onRegistryOpened(
                message -> link.send(MessageKind.REGISTRY, RegistryCodec.encode(message)));
    }

    @Override
    public void received(Link link, MessageKind kind, byte[] body) {
        RegistryMessage message = RegistryCodec.decode(body);
        if (message instanceof RegistryMessage.Status status) {
            statuses.put(link.peer(), status);
            connect(status.registries());
            listener.onRollouts(status.rollouts());
            fetchIfNewer(link, status);
        } else if (message instanceof RegistryMessage.Content content) {
            storeConfiguration(link, content);
        } else if (message instanceof RegistryMessage.Endpoints endpoints) {
            listener.onEndpointReports(endpoints.records());
        } else {
            listener.onRelayedMessage(message);
        }
    }

    @Override
    public void closed(Link link) {
        statuses.remove(link.peer());
        listener.onRegistryLost();
        if (statuses.isEmpty()) {
            LogEvent.warning(LOG, "registry.lost").with("registry", link.peer()).write();
        }
    }

    private void connect(Collection<HostId> hosts) {
        for (HostId host : hosts) {
            if (!dialers.containsKey(host)) {
                LinkDialer dialer = new LinkDialer(loop, identity, host, this);
                dialers.put(host, dialer);
                dialer.start();
            }
        }
    }

    private void fetchIfNewer(Link link, RegistryMessage.Status status) {
        boolean isNewer =
                status.version() > configurationVersion
                        && (configurationVersion > 0 || status.current());
        long now = EventLoop.nowMillis();
        boolean isPending =
                requestedVersion >= status.version()
                        && now - requestedAtMillis < FETCH_TIMEOUT_MILLIS;
        if (!isNewer || isPending) {
            return;
        }
        requestedVersion = status.version();
        requestedAtMillis = now;
        link.send(
                MessageKind.REGISTRY,
                RegistryCodec.encode(new RegistryMessage.FetchAbove(configurationVersion)));
        loop.after(FETCH_TIMEOUT_MILLIS, this::retryFetch);
    }

    private void retryFetch() {
        for (Map.Entry<HostId, RegistryMessage.Status> entry : statuses.entrySet()) {
            LinkDialer dialer = dialers.get(entry.getKey());
            if (dialer != null && dialer.link() != null) {
                fetchIfNewer(dialer.link(), entry.getValue());
            }
        }
    }

    private void storeConfiguration(Link link, RegistryMessage.Content content) {
        if (content.version() <= configurationVersion) {
            return;
        }
        configurationVersion = content.version();
        LogEvent.info(LOG, "configuration.received")
                .with("version", configurationVersion)
                .with("registry", link.peer())
                .with("bytes", content.content().length)
                .write();
        listener.onConfiguration(configurationVersion, content.content());
    }
}
