package io.siskintrail.router.internal.endpoint;

import io.siskintrail.internal.membership.UsableEndpoint;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.service.ControlLoop;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The endpoints that may take new work, as the membership last published them, each until its
 * evidence ends. May be read from any thread.
 */
public final class EndpointDirectory {
    private volatile List<UsableEndpoint> endpoints = List.of();

    /** Replaces all endpoints. */
    public void publish(List<UsableEndpoint> usable) {
        endpoints = List.copyOf(usable);
    }

    /** Returns the endpoints that may take new work for {@code model}. */
    public List<EndpointInfo> live(ModelId model) {
        return live().stream().filter(e -> e.models().contains(model)).toList();
    }

    /** Returns the endpoints that may take new work for {@code service}. */
    public List<EndpointInfo> live(ServiceName service) {
        return live().stream().filter(e -> e.services().contains(service)).toList();
    }

    /** Returns the models that some live endpoint serves. */
    public Set<ModelId> models() {
        return live().stream().flatMap(e -> e.models().stream()).collect(Collectors.toSet());
    }

    /** Returns all endpoints that may take new work. */
    public List<EndpointInfo> live() {
        long now = ControlLoop.nowMillis();
        return endpoints.stream()
                .filter(e -> e.untilMillis() > now)
                .map(UsableEndpoint::info)
                .toList();
    }
}
