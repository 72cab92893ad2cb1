package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.EndpointDirectory;
import io.siskintrail.internal.traffic.EndpointRecord;
import io.siskintrail.internal.traffic.EndpointState;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The endpoints that this edge knows, by service. The last list stays when registries are gone. */
final class EndpointTable {
    private static final System.Logger LOG = System.getLogger(EndpointTable.class.getName());

    /** Registries judge silence; an edge does not, so that it keeps its list without them. */
    private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

    /** Time that an ended incarnation is remembered. */
    private static final long FORGET_AFTER_MILLIS = 120_000;

    private final EndpointDirectory directory =
            new EndpointDirectory(NEVER_MILLIS, FORGET_AFTER_MILLIS);
    private final Map<ServiceName, Map<EndpointId, EndpointView>> byService = new HashMap<>();
    private final Consumer<EndpointView> gone;

    /** Calls {@code gone} for each endpoint that ended. */
    EndpointTable(Consumer<EndpointView> gone) {
        this.gone = gone;
    }

    /** Takes what a registry tells; returns whether an endpoint may have become usable. */
    boolean told(List<EndpointRecord> records) {
        boolean better = false;
        long now = EventLoop.nowMillis();
        for (EndpointRecord told : records) {
            for (EndpointRecord r : directory.report(told, now)) {
                better |= apply(r);
            }
        }
        directory.expire(now);
        return better;
    }

    /** Returns the endpoints of a service. */
    Collection<EndpointView> of(ServiceName service) {
        Map<EndpointId, EndpointView> views = byService.get(service);
        return views == null ? List.of() : views.values();
    }

    /** Returns the endpoint {@code id}, null when unknown. */
    EndpointView get(EndpointId id) {
        EndpointRecord record = directory.get(id);
        Map<EndpointId, EndpointView> views =
                record == null ? null : byService.get(record.service());
        return views == null ? null : views.get(id);
    }

    /** Calls {@code action} with each endpoint. */
    void forEach(Consumer<EndpointView> action) {
        byService.values().forEach(views -> views.values().forEach(action));
    }

    /** Returns how many endpoints are known. */
    int size() {
        return byService.values().stream().mapToInt(Map::size).sum();
    }

    private boolean apply(EndpointRecord r) {
        LogEvent.info(LOG, "endpoint.told")
                .with("endpoint", r.id())
                .with("service", r.service())
                .with("state", r.state())
                .with("incarnation", r.incarnation())
                .with("sequence", r.sequence())
                .write();
        Map<EndpointId, EndpointView> views =
                byService.computeIfAbsent(r.service(), s -> new LinkedHashMap<>());
        EndpointView known = views.get(r.id());
        if (r.state() == EndpointState.GONE) {
            if (known != null) {
                known.update(r);
                views.remove(r.id());
                gone.accept(known);
            }
            return false;
        }
        if (known == null || known.record().incarnation() != r.incarnation()) {
            if (known != null) {
                known.update(known.record().with(EndpointState.GONE));
                gone.accept(known);
            }
            views.put(r.id(), new EndpointView(r));
            return true;
        }
        known.update(r);
        return r.state() == EndpointState.READY;
    }
}
