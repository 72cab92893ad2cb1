package io.siskintrail.registry.internal;

import io.siskintrail.internal.traffic.RelayPace;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Passes on what edges say of their loads, gathered for a moment, so that the messages to an edge
 * do not grow with the number of edges.
 */
final class LoadRelay {
    private final EventLoop loop;
    private final EdgeFeed feed;
    private final Set<HostId> speakers = new HashSet<>();
    private List<RegistryMessage.HostLoads> gathered = new ArrayList<>();

    LoadRelay(EventLoop loop, EdgeFeed feed) {
        this.loop = loop;
        this.feed = feed;
    }

    /** Takes the word of an edge. */
    void gather(RegistryMessage.Loads loads) {
        loads.hosts().forEach(h -> speakers.add(h.host()));
        add(loads.hosts());
    }

    /** Tells that an edge has placed nothing any more, if it spoke through this registry. */
    void left(HostId edge) {
        if (speakers.remove(edge)) {
            add(List.of(RegistryMessage.HostLoads.nothing(edge)));
        }
    }

    private void add(List<RegistryMessage.HostLoads> hosts) {
        if (gathered.isEmpty()) {
            loop.after(RelayPace.gatherMillis(feed.count()), this::pass);
        }
        gathered.addAll(hosts);
    }

    private void pass() {
        List<RegistryMessage.HostLoads> hosts = gathered;
        gathered = new ArrayList<>();
        feed.broadcast(new RegistryMessage.Loads(hosts));
    }
}
