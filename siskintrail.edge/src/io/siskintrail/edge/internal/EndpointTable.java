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

/**
 * Endpoints known to this edge, by service. The last known list remains valid while all registries
 * are unreachable.
 */
final class EndpointTable {
    private static final System.Logger LOG = System.getLogger(EndpointTable.class.getName());

    /**
     * No timeout: registries decide which endpoints are silent, not an edge, so that an edge keeps
     * its list without registries.
     */
    private static final long NO_TIMEOUT_MILLIS = Long.MAX_VALUE / 4;

    /** Time for which an ended incarnation is remembered. */
    private static final long TOMBSTONE_MILLIS = 120_000;

    private final EndpointDirectory directory =
            new EndpointDirectory(NO_TIMEOUT_MILLIS, TOMBSTONE_MILLIS);
    private final Map<ServiceName, Map<EndpointId, EndpointView>> byService = new HashMap<>();
    private final Consumer<EndpointView> onGone;

    /** Creates an empty table that calls {@code onGone} for each endpoint that ended. */
    EndpointTable(Consumer<EndpointView> onGone) {
        this.onGone = onGone;
    }

    /** Applies reports from a registry; returns whether an endpoint may have become usable. */
    boolean applyReports(List<EndpointRecord> records) {
        boolean mayBeUsable = false;
        long now = EventLoop.nowMillis();
        for (EndpointRecord report : records) {
            for (EndpointRecord record : directory.mergeReport(report, now)) {
                mayBeUsable |= apply(record);
            }
        }
        directory.expire(now);
        return mayBeUsable;
    }

    /** Returns the endpoints of a service. */
    Collection<EndpointView> of(ServiceName service) {
        Map<EndpointId, EndpointView> views = byService.get(service);
        return views == null ? List.of() : views.values();
    }

    /** Returns the endpoint {@code id}, null if unknown. */
    EndpointView get(EndpointId id) {
        EndpointRecord record = directory.get(id);
        Map<EndpointId, EndpointView> views =
                record == null ? null : byService.get(record.service());
        return views == null ? null : views.get(id);
    }

    /** Calls {@code action} for each endpoint. */
    void forEach(Consumer<EndpointView> action) {
        byService.values().forEach(views -> views.values().forEach(action));
    }

    /** Returns the number of known endpoints. */
    int size() {
        return byService.values().stream().mapToInt(Map::size).sum();
    }

    private boolean apply(EndpointRecord record) {
        LogEvent.info(LOG, "endpoint.told")
                .with("endpoint", record.id())
                .with("service", record.service())
                .with("state", record.state())
                .with("incarnation", record.incarnation())
                .with("sequence", record.sequence())
                .write();
        Map<EndpointId, EndpointView> views =
                byService.computeIfAbsent(record.service(), s -> new LinkedHashMap<>());
        EndpointView known = views.get(record.id());
        if (record.state() == EndpointState.GONE) {
            if (known != null) {
                known.update(record);
                views.remove(record.id());
                onGone.accept(known);
            }
            return false;
        }
        if (known == null || known.record().incarnation() != record.incarnation()) {
            if (known != null) {
                known.update(known.record().with(EndpointState.GONE));
                onGone.accept(known);
            }
            views.put(record.id(), new EndpointView(record));
            return true;
        }
        known.update(record);
        return record.state() == EndpointState.READY;
    }
}
