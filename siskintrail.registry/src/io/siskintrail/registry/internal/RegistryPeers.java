package io.siskintrail.registry.internal;

import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.Identity;
import io.siskintrail.net.Link;
import io.siskintrail.net.LinkDialer;
import io.siskintrail.net.LinkListener;
import io.siskintrail.net.LinkServer;
import io.siskintrail.net.PeerRole;
import io.siskintrail.service.Service;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reaches the other registries: dials each one that it learns of, and listens for them and for
 * edges. Messages to a registry go over the link that this host dialed.
 */
final class RegistryPeers implements Service {
    private final EventLoop loop;
    private final Identity self;
    private final LinkListener listener;
    private final LinkServer server;
    private final Map<HostId, LinkDialer> dialers = new LinkedHashMap<>();
    private final Map<HostId, Long> heardAt = new HashMap<>();

    /** Prepares links at the address that {@code self} names. */
    RegistryPeers(EventLoop loop, Identity self, LinkListener listener) {
        this.loop = loop;
        this.self = self;
        this.listener = new Inbound(listener);
        this.server = new LinkServer(loop, self, this.listener);
    }

    @Override
    public void start() {
        server.start();
    }

    /** Waits until the address is taken; not to be called on the event loop. */
    void awaitListening() {
        server.awaitListening();
    }

    @Override
    public void stop() {
        server.stop();
        dialers.values().forEach(LinkDialer::stop);
    }

    /** Begins to reach {@code hosts}; those known already are left as they are. */
    void add(Collection<HostId> hosts) {
        for (HostId host : hosts) {
            if (!host.equals(self.host()) && !dialers.containsKey(host)) {
                LinkDialer dialer = new LinkDialer(loop, self, host, listener);
                dialers.put(host, dialer);
                dialer.start();
            }
        }
    }

    /** Forgets a host that is no longer a registry and cannot be reached. */
    void retain(Collection<HostId> needed, long nowMillis, long forgetAfterMillis) {
        dialers.entrySet()
                .removeIf(
                        e -> {
                            long heard = heardAt.getOrDefault(e.getKey(), Long.MIN_VALUE);
                            boolean keep =
                                    needed.contains(e.getKey())
                                            || e.getValue().link() != null
                                            || nowMillis - heard < forgetAfterMillis;
                            if (!keep) {
                                e.getValue().stop();
                            }
                            return !keep;
                        });
    }

    /** Returns the registries with an open link, this one included. */
    List<HostId> reachable() {
        List<HostId> hosts = new ArrayList<>();
        hosts.add(self.host());
        dialers.forEach(
                (host, dialer) -> {
                    if (dialer.link() != null) {
                        hosts.add(host);
                    }
                });
        return hosts;
    }

    /** Sends a message of the log; dropped when there is no link. */
    void sendConsensus(HostId to, byte[] body) {
        LinkDialer dialer = dialers.get(to);
        if (dialer != null && dialer.link() != null) {
            dialer.link().send(MessageKind.CONSENSUS, body);
        }
    }

    /** Sends a message of the log to all registries. */
    void broadcastConsensus(byte[] body) {
        dialers.keySet().forEach(h -> sendConsensus(h, body));
    }

    /** Sends a message to a registry; returns false when there is no link. */
    boolean send(HostId to, RegistryMessage message) {
        LinkDialer dialer = dialers.get(to);
        return dialer != null
                && dialer.link() != null
                && dialer.link().send(MessageKind.REGISTRY, RegistryCodec.encode(message));
    }

    /** Sends a message to all registries. */
    void broadcast(RegistryMessage message) {
        byte[] body = RegistryCodec.encode(message);
        for (LinkDialer dialer : dialers.values()) {
            if (dialer.link() != null) {
                dialer.link().send(MessageKind.REGISTRY, body);
            }
        }
    }

    /** Dials a registry that introduced itself: it has started, whatever was found before. */
    private void dialBack(HostId host) {
        LinkDialer dialer = dialers.get(host);
        if (dialer != null) {
            dialer.dialNow();
        }
    }

    /** Dials registries that introduce themselves, and passes everything on. */
    private final class Inbound implements LinkListener {
        private final LinkListener next;

        Inbound(LinkListener next) {
            this.next = next;
        }

        @Override
        public void opened(Link link) {
            if (link.role() == PeerRole.REGISTRY) {
                heardAt.put(link.peer(), EventLoop.nowMillis());
                add(List.of(link.peer()));
                dialBack(link.peer());
            }
            next.opened(link);
        }

        @Override
        public void received(Link link, MessageKind kind, byte[] body) {
            if (link.role() == PeerRole.REGISTRY) {
                heardAt.put(link.peer(), EventLoop.nowMillis());
            }
            next.received(link, kind, body);
        }

        @Override
        public void closed(Link link) {
            next.closed(link);
        }
    }
}
