package io.siskintrail.registry.internal;

import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.net.Link;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArraySet;

/**
 * Tells the edges that follow this registry what changes. An edge is sent the whole directory once
 * and then changes only; the content of a configuration goes to those that ask for it.
 */
final class EdgeFeed {
    private static final System.Logger LOG = System.getLogger(EdgeFeed.class.getName());

    private final Set<Link> edges = new CopyOnWriteArraySet<>();
    private RegistryMessage.Status told;

    /** Adds an edge and tells it all there is. */
    void opened(
            Link edge,
            RegistryMessage.Status status,
            List<EndpointRecord> all,
            List<RegistryMessage.Refusal> refusals) {
        edges.add(edge);
        LogEvent.info(LOG, "edge.connected").with("edge", edge.peer()).write();
        send(edge, status);
        refusals.forEach(refusal -> send(edge, refusal));
        send(edge, new RegistryMessage.Endpoints(all));
    }

    /** Removes an edge. */
    void closed(Link edge) {
        if (edges.remove(edge)) {
            LogEvent.info(LOG, "edge.disconnected").with("edge", edge.peer()).write();
        }
    }

    /** Returns how many edges follow this registry. */
    int count() {
        return edges.size();
    }

    /** Tells what this registry knows, if that changed. */
    void status(RegistryMessage.Status status) {
        if (!status.equals(told)) {
            told = status;
            broadcast(status);
        }
    }

    /** Tells of changed endpoints. */
    void changed(List<EndpointRecord> records) {
        broadcast(new RegistryMessage.Endpoints(records));
    }

    /** Tells something to all edges. */
    void broadcast(RegistryMessage message) {
        byte[] body = RegistryCodec.encode(message);
        edges.forEach(e -> e.send(MessageKind.REGISTRY, body));
    }

    private static void send(Link edge, RegistryMessage message) {
        edge.send(MessageKind.REGISTRY, RegistryCodec.encode(message));
    }
}
