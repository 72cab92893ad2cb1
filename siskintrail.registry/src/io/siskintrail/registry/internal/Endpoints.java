package io.siskintrail.registry.internal;

import io.siskintrail.internal.traffic.endpoint.EndpointDirectory;
import io.siskintrail.internal.traffic.endpoint.EndpointKey;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The directory of endpoints as one registry knows it: from what endpoints report here, and from
 * what other registries pass on. Changes go to edges and registries at once; mere renewals go to
 * registries only, gathered.
 */
final class Endpoints {
    private static final System.Logger LOG = System.getLogger(Endpoints.class.getName());

    /** Reports that an endpoint may miss before it counts as silent. */
    private static final int MISSED_REPORTS = 4;

    /** Time that an ended incarnation is remembered, far above the delay of any report. */
    private static final long FORGET_AFTER_MILLIS = 120_000;

    private final EndpointDirectory directory;
    private final RegistryPeers peers;
    private final EdgeFeed feed;
    private final Map<EndpointKey, EndpointRecord> renewed = new LinkedHashMap<>();

    /**
     * Makes an empty directory.
     *
     * @param heartbeatMillis how often endpoints report
     */
    Endpoints(long heartbeatMillis, RegistryPeers peers, EdgeFeed feed) {
        this.directory =
                new EndpointDirectory(MISSED_REPORTS * heartbeatMillis, FORGET_AFTER_MILLIS);
        this.peers = peers;
        this.feed = feed;
    }

    /** Takes a report of an endpoint itself. */
    void reported(EndpointRecord report) {
        List<EndpointRecord> changed = directory.mergeReport(report, EventLoop.nowMillis());
        if (changed.isEmpty()) {
            renewed.put(EndpointKey.of(report), report);
            return;
        }
        log("endpoint.reported", changed);
        peers.broadcast(new RegistryMessage.Endpoints(changed));
        feed.changed(changed);
    }

    /**
     * Takes the word of an endpoint that it leaves, under whatever service it was filed; unknown
     * ones are left alone.
     */
    void left(EndpointId id) {
        for (EndpointRecord known : directory.recordsOf(id)) {
            if (known.state() != EndpointState.GONE) {
                reported(known.with(EndpointState.GONE));
            }
        }
    }

    /** Takes what another registry passes on. */
    void passedOn(List<EndpointRecord> records) {
        long now = EventLoop.nowMillis();
        List<EndpointRecord> changed = new ArrayList<>();
        records.forEach(r -> changed.addAll(directory.mergeReport(r, now)));
        if (!changed.isEmpty()) {
            log("endpoint.passed", changed);
            feed.changed(changed);
        }
    }

    /** Passes renewals on; to be called a few times in each interval of reports. */
    void passRenewals() {
        if (!renewed.isEmpty()) {
            peers.broadcast(new RegistryMessage.Endpoints(List.copyOf(renewed.values())));
            renewed.clear();
        }
    }

    /**
     * Marks endpoints that are not heard of.
     *
     * @param tellEdges whether this registry hears the others, so that its silence means something
     */
    void expire(boolean tellEdges) {
        List<EndpointRecord> changed = directory.expire(EventLoop.nowMillis());
        if (!changed.isEmpty()) {
            log("endpoint.silent", changed);
            if (tellEdges) {
                feed.changed(changed);
            }
        }
    }

    /** Returns all records. */
    Collection<EndpointRecord> records() {
        return directory.records();
    }

    private static void log(String event, List<EndpointRecord> changed) {
        for (EndpointRecord r : changed) {
            LogEvent.info(LOG, event)
                    .with("endpoint", r.id())
                    .with("service", r.service())
                    .with("state", r.state())
                    .with("version", r.version())
                    .with("incarnation", r.incarnation())
                    .with("sequence", r.sequence())
                    .write();
        }
    }
}
