package io.siskintrail.router.internal.order;

import io.siskintrail.internal.ledger.EndpointPicker;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import java.util.List;
import java.util.Set;

/** Picks the live endpoints of a service in turn. Used on one thread. */
public final class EndpointTurns implements EndpointPicker {
    private final EndpointDirectory directory;
    private int turn;

    /** Takes the endpoints to choose from. */
    public EndpointTurns(EndpointDirectory directory) {
        this.directory = directory;
    }

    @Override
    public EndpointId pick(ServiceName service, Set<EndpointId> tried) {
        List<EndpointInfo> left =
                directory.live(service).stream().filter(e -> !tried.contains(e.id())).toList();
        return left.isEmpty() ? null : left.get(Math.floorMod(turn++, left.size())).id();
    }

    /** Returns {@code ip:port} of a live endpoint, or null when it takes no new work any more. */
    public String address(EndpointId id) {
        return directory.live().stream()
                .filter(e -> e.id().equals(id))
                .map(EndpointInfo::address)
                .findFirst()
                .orElse(null);
    }
}
