package io.siskintrail.edge.internal;

import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.rollout.RolloutTable;
import io.siskintrail.internal.traffic.endpoint.EndpointDirectory;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Endpoints known to this edge, by service. The endpoints remain in the table while all registries
 * are unreachable.
 */
final class EndpointTable {
    private static final System.Logger LOG = System.getLogger(EndpointTable.class.getName());

    /**
     * Disables the silence timeout of the directory: only registries decide that an endpoint is
     * silent, so that an edge keeps its endpoints while no registry is reachable.
     */
    private static final long NO_TIMEOUT_MILLIS = Long.MAX_VALUE / 4;

    /** Time for which an ended incarnation is kept, so that late reports do not add it again. */
    private static final long TOMBSTONE_MILLIS = 120_000;

    private final EndpointDirectory directory =
            new EndpointDirectory(NO_TIMEOUT_MILLIS, TOMBSTONE_MILLIS);
    private final Map<ServiceName, Map<EndpointId, EndpointView>> viewsByService = new HashMap<>();
    private final RolloutTable rollouts = new RolloutTable();
    private final Map<ServiceName, EndpointVersion> excludedVersions = new HashMap<>();
    private final Consumer<EndpointView> onEndpointEnded;

    /** Creates an empty table that calls {@code onEndpointEnded} for each endpoint that ended. */
    EndpointTable(Consumer<EndpointView> onEndpointEnded) {
        this.onEndpointEnded = onEndpointEnded;
    }

    /** Applies reports from a registry; returns whether an endpoint may have become usable. */
    boolean applyReports(List<EndpointRecord> records) {
        boolean mayBeUsable = false;
        long now = EventLoop.nowMillis();
        for (EndpointRecord report : records) {
            for (EndpointRecord record : directory.mergeReport(report, now)) {
                mayBeUsable |= applyRecord(record);
            }
        }
        directory.expire(now);
        return mayBeUsable;
    }

    /** Applies the services that the configuration in force names. */
    void applyServices(Set<ServiceName> services) {
        directory.setServices(services, EventLoop.nowMillis()).forEach(this::applyRecord);
    }

    /**
     * Applies the rollouts that a registry holds; those of a registry that is behind change
     * nothing.
     */
    void applyRollouts(List<RolloutRecord> records) {
        for (RolloutRecord changed : rollouts.restore(records, EventLoop.nowMillis())) {
            LogEvent.info(LOG, "rollout.told")
                    .with("service", changed.order().service())
                    .with("to", changed.order().to())
                    .with("number", changed.number())
                    .with("status", changed.status())
                    .write();
            if (changed.status() == RolloutRecord.Status.COMPLETED) {
                excludedVersions.remove(changed.order().service());
            } else {
                excludedVersions.put(changed.order().service(), changed.order().to());
            }
        }
    }

    /**
     * Returns the endpoints of a service that requests may be placed on, empty if none is known.
     * Those of a version that is being rolled out or was rolled back are left out, unless there are
     * no others.
     */
    Collection<EndpointView> ofService(ServiceName service) {
        Map<EndpointId, EndpointView> views = viewsByService.get(service);
        if (views == null) {
            return List.of();
        }
        EndpointVersion excluded = excludedVersions.get(service);
        if (excluded == null) {
            return views.values();
        }
        List<EndpointView> others =
                views.values().stream()
                        .filter(view -> !view.record().version().equals(excluded))
                        .toList();
        return others.isEmpty() ? views.values() : others;
    }

    /** Returns the endpoint {@code id}, null if unknown. */
    EndpointView get(EndpointId id) {
        EndpointRecord record = directory.get(id);
        Map<EndpointId, EndpointView> views =
                record == null ? null : viewsByService.get(record.service());
        return views == null ? null : views.get(id);
    }

    /** Calls {@code action} for each endpoint. */
    void forEach(Consumer<EndpointView> action) {
        viewsByService.values().forEach(views -> views.values().forEach(action));
    }

    /** Returns the number of known endpoints. */
    int size() {
        return viewsByService.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the number of known endpoints that satisfy {@code condition}. */
    long count(Predicate<EndpointView> condition) {
        return viewsByService.values().stream()
                .flatMap(views -> views.values().stream())
                .filter(condition)
                .count();
    }

    /** Applies a changed record; returns whether its endpoint may have become usable. */
    private boolean applyRecord(EndpointRecord record) {
        LogEvent.info(LOG, "endpoint.told")
                .with("endpoint", record.id())
                .with("service", record.service())
                .with("state", record.state())
                .with("version", record.version())
                .with("incarnation", record.incarnation())
                .with("sequence", record.sequence())
                .write();
        Map<EndpointId, EndpointView> views =
                viewsByService.computeIfAbsent(record.service(), s -> new LinkedHashMap<>());
        EndpointView knownView = views.get(record.id());
        if (record.state() == EndpointState.GONE) {
            if (knownView != null) {
                knownView.update(record);
                views.remove(record.id());
                onEndpointEnded.accept(knownView);
            }
            return false;
        }
        if (knownView == null || knownView.record().incarnation() != record.incarnation()) {
            if (knownView != null) {
                knownView.update(knownView.record().with(EndpointState.GONE));
                onEndpointEnded.accept(knownView);
            }
            views.put(record.id(), new EndpointView(record));
            return true;
        }
        knownView.update(record);
        return record.state() == EndpointState.READY;
    }
}
