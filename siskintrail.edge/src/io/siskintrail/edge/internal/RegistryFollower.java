package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.EndpointRecord;
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

/**
 * Follows the registries: keeps a link to each, takes changes of endpoints from all of them, and
 * fetches a configuration from the first that has a newer one.
 */
final class RegistryFollower implements Service, LinkListener {
    private static final System.Logger LOG = System.getLogger(RegistryFollower.class.getName());

    /** Time after which a fetch without an answer is repeated at another registry. */
    private static final long FETCH_MILLIS = 400;

    private final EventLoop loop;
    private final Identity self;
    private final List<String> seeds;
    private final int linkPort;
    private final Listener listener;
    private final Map<HostId, LinkDialer> dialers = new LinkedHashMap<>();
    private final Map<HostId, RegistryMessage.Status> statuses = new HashMap<>();
    private long held;
    private long fetching;
    private long fetchedAt;

    /** Learns what registries tell. */
    interface Listener {

        /** Takes a configuration with a version above all before it. */
        void configuration(long version, byte[] content);

        /** Takes reports of endpoints. */
        void endpoints(List<EndpointRecord> records);

        /** Takes the word of other edges, or another message that a registry passes on. */
        void passedOn(RegistryMessage message);

        /** Takes note that the link to a registry ended: what was told to it may be lost. */
        void registryLost();
    }

    RegistryFollower(
            EventLoop loop, HostId host, List<String> seeds, int linkPort, Listener listener) {
        this.loop = loop;
        this.self = new Identity(PeerRole.EDGE, host);
        this.seeds = seeds;
        this.linkPort = linkPort;
        this.listener = listener;
    }

    @Override
    public void start() {
        addSeeds(seeds);
    }

    /** Begins to follow the registries at {@code callAddresses}; may be called on any thread. */
    void addSeeds(List<String> callAddresses) {
        List<HostId> hosts =
                callAddresses.stream()
                        .map(s -> Addresses.parse(s).getHostString() + ":" + linkPort)
                        .map(HostId::new)
                        .toList();
        loop.execute(() -> dial(hosts));
    }

    @Override
    public void stop() {
        dialers.values().forEach(LinkDialer::stop);
    }

    /**
     * Returns whether a registry says that it holds the newest configuration, and it is held here.
     */
    boolean isConfirmed() {
        return statuses.values().stream().anyMatch(s -> s.current() && s.version() <= held);
    }

    /** Returns how many edges there are, this one included, as far as known. */
    int edges() {
        return Math.max(
                1,
                statuses.values().stream().mapToInt(RegistryMessage.Status::edges).max().orElse(1));
    }

    /** Returns how many registries have an open link. */
    int links() {
        return statuses.size();
    }

    /**
     * Sends a message that one registry is to pass on to all edges; lost when there is none. All
     * edges choose the same registry if they can, which then passes on what many of them tell in
     * one message to each.
     */
    void sendToOne(RegistryMessage message) {
        dialers.entrySet().stream()
                .filter(d -> d.getValue().link() != null)
                .min(Map.Entry.comparingByKey())
                .ifPresent(
                        d ->
                                d.getValue()
                                        .link()
                                        .send(MessageKind.REGISTRY, RegistryCodec.encode(message)));
    }

    @Override
    public void opened(Link link) {
        if (statuses.isEmpty()) {
            LogEvent.info(LOG, "registry.regained").with("registry", link.peer()).write();
        }
    }

    @Override
    public void received(Link link, MessageKind kind, byte[] body) {
        RegistryMessage message = RegistryCodec.decode(body);
        if (message instanceof RegistryMessage.Status s) {
            statuses.put(link.peer(), s);
            dial(s.registries());
            fetch(link, s);
        } else if (message instanceof RegistryMessage.Content c) {
            content(link, c);
        } else if (message instanceof RegistryMessage.Endpoints e) {
            listener.endpoints(e.records());
        } else {
            listener.passedOn(message);
        }
    }

    @Override
    public void closed(Link link) {
        statuses.remove(link.peer());
        listener.registryLost();
        if (statuses.isEmpty()) {
            LogEvent.warning(LOG, "registry.lost").with("registry", link.peer()).write();
        }
    }

    private void dial(Collection<HostId> hosts) {
        for (HostId host : hosts) {
            if (!dialers.containsKey(host)) {
                LinkDialer dialer = new LinkDialer(loop, self, host, this);
                dialers.put(host, dialer);
                dialer.start();
            }
        }
    }

    private void fetch(Link link, RegistryMessage.Status status) {
        boolean useful = status.version() > held && (held > 0 || status.current());
        long now = EventLoop.nowMillis();
        boolean asked = fetching >= status.version() && now - fetchedAt < FETCH_MILLIS;
        if (!useful || asked) {
            return;
        }
        fetching = status.version();
        fetchedAt = now;
        link.send(MessageKind.REGISTRY, RegistryCodec.encode(new RegistryMessage.FetchAbove(held)));
        loop.after(FETCH_MILLIS, this::fetchAgain);
    }

    private void fetchAgain() {
        for (Map.Entry<HostId, RegistryMessage.Status> e : statuses.entrySet()) {
            LinkDialer dialer = dialers.get(e.getKey());
            if (dialer != null && dialer.link() != null) {
                fetch(dialer.link(), e.getValue());
            }
        }
    }

    private void content(Link link, RegistryMessage.Content content) {
        if (content.version() <= held) {
            return;
        }
        held = content.version();
        LogEvent.info(LOG, "configuration.received")
                .with("version", held)
                .with("registry", link.peer())
                .with("bytes", content.content().length)
                .write();
        listener.configuration(held, content.content());
    }
}
