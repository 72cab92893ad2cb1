package io.siskintrail.registry.internal;

import io.siskintrail.internal.traffic.placement.RelayInterval;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.Link;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Passes on what edges say of their loads, gathered for a moment, so that the messages to an edge
 * do not grow with the number of edges.
 */
final class LoadRelay {
    private final EventLoop loop;
    private final EdgeFeed feed;
    private final Map<HostId, Link> speakers = new HashMap<>();
    private List<RegistryMessage.HostLoads> gathered = new ArrayList<>();

    LoadRelay(EventLoop loop, EdgeFeed feed) {
        this.loop = loop;
        this.feed = feed;
    }

    /** Takes the word of the edge at the other end of {@code link}. */
    void gather(Link link, RegistryMessage.Loads loads) {
        speakers.put(link.peer(), link);
        add(loads.hosts());
    }

    /**
     * Tells that an edge has placed nothing any more if it spoke through {@code link} last. An edge
     * that has opened another link since is still there.
     */
    void closed(Link link) {
        if (speakers.remove(link.peer(), link)) {
            add(List.of(RegistryMessage.HostLoads.nothing(link.peer())));
        }
    }

    private void add(List<RegistryMessage.HostLoads> hosts) {
        if (gathered.isEmpty()) {
            loop.after(RelayInterval.batchMillis(feed.count()), this::pass);
        }
        gathered.addAll(hosts);
    }

    private void pass() {
        List<RegistryMessage.HostLoads> hosts = gathered;
        gathered = new ArrayList<>();
        feed.broadcast(new RegistryMessage.Loads(hosts));
    }
}
