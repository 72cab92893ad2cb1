package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.placement.EngineSpeed;
import io.siskintrail.internal.traffic.placement.EngineSpeeds;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The measured speeds of the engines of all services. Confined to the event loop. */
final class ServiceSpeeds {
    private final Map<ServiceName, EngineSpeeds> speedsByService = new HashMap<>();

    /** Returns the speeds of the engines of a service; never null. */
    EngineSpeeds of(ServiceName service) {
        return speedsByService.computeIfAbsent(service, s -> new EngineSpeeds());
    }

    /** Returns what this edge measured since the last call. */
    List<EngineSpeed> takeUnreported(long nowMillis) {
        List<EngineSpeed> taken = new ArrayList<>();
        speedsByService.values().forEach(speeds -> taken.addAll(speeds.takeUnreported(nowMillis)));
        return taken;
    }
}
