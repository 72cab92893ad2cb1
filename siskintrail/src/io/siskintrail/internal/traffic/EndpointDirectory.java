package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Merges reports about endpoints; the result does not depend on their order or on the number of
 * reporters. Used by the registry, which receives reports from the endpoints themselves, and by
 * edges, which receive them from registries. Not thread-safe.
 */
public final class EndpointDirectory {
    private final long silentAfterMillis;
    private final long forgetAfterMillis;
    private final Map<EndpointId, Entry> entries = new HashMap<>();
    private final Map<String, EndpointId> ownerByAddress = new HashMap<>();

    private static final class Entry {
        private EndpointRecord record;
        private long lastReportAt;

        Entry(EndpointRecord record, long lastReportAt) {
            this.record = record;
            this.lastReportAt = lastReportAt;
        }
    }

    /**
     * Creates an empty directory.
     *
     * @param silentAfterMillis time after the last report at which a ready endpoint becomes silent
     * @param forgetAfterMillis how long the record of an endpoint that is not ready is kept after
     *     its last report, so that late reports of an ended incarnation are recognized
     */
    public EndpointDirectory(long silentAfterMillis, long forgetAfterMillis) {
        this.silentAfterMillis = silentAfterMillis;
        this.forgetAfterMillis = forgetAfterMillis;
    }

    /**
     * Merges a report into the directory.
     *
     * @param received the report; with incarnation 0 it only changes the state of a known record
     * @param nowMillis monotonic time
     * @return the records that changed in a way that matters to callers of endpoints; empty when
     *     the report was outdated or only renewed the known record
     */
    public List<EndpointRecord> mergeReport(EndpointRecord received, long nowMillis) {
        Entry known = entries.get(received.id());
        EndpointRecord report = received;
        if (received.incarnation() == 0 && known != null) {
            report = known.record.with(received.state());
        }
        if (known != null && !report.isNewerThan(known.record)) {
            return List.of();
        }
        if (isOutdatedAtAddress(report)) {
            return List.of();
        }
        EndpointRecord before = known == null ? null : known.record;
        entries.put(report.id(), new Entry(report, nowMillis));
        List<EndpointRecord> changed = new ArrayList<>();
        if (before == null || !isSameForCallers(before, report)) {
            changed.add(report);
        }
        if (report.state() != EndpointState.GONE) {
            replaceOwnerOfAddress(report, nowMillis, changed);
        }
        return changed;
    }

    /**
     * Marks ready endpoints without recent reports as silent, and removes the records of others
     * whose retention has passed. Returns the records that were marked.
     */
    public List<EndpointRecord> expire(long nowMillis) {
        List<EndpointRecord> changed = new ArrayList<>();
        Iterator<Entry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry e = iterator.next();
            long age = nowMillis - e.lastReportAt;
            if (e.record.state() == EndpointState.READY && age > silentAfterMillis) {
                e.record = e.record.with(EndpointState.SILENT);
                changed.add(e.record);
            } else if (e.record.state() != EndpointState.READY && age > forgetAfterMillis) {
                ownerByAddress.remove(e.record.address(), e.record.id());
                iterator.remove();
            }
        }
        return changed;
    }

    /** Returns the record of {@code id}, or null when it is unknown. */
    public EndpointRecord get(EndpointId id) {
        Entry e = entries.get(id);
        return e == null ? null : e.record;
    }

    /** Returns all records, including those of ended incarnations. */
    public Collection<EndpointRecord> records() {
        List<EndpointRecord> all = new ArrayList<>(entries.size());
        entries.values().forEach(e -> all.add(e.record));
        return all;
    }

    /** Returns whether another endpoint with a later start owns the address of {@code report}. */
    private boolean isOutdatedAtAddress(EndpointRecord report) {
        EndpointId owner = ownerByAddress.get(report.address());
        if (owner == null || owner.equals(report.id())) {
            return false;
        }
        Entry other = entries.get(owner);
        return other != null && other.record.incarnation() > report.incarnation();
    }

    private void replaceOwnerOfAddress(
            EndpointRecord report, long nowMillis, List<EndpointRecord> changed) {
        EndpointId owner = ownerByAddress.put(report.address(), report.id());
        if (owner == null || owner.equals(report.id())) {
            return;
        }
        Entry old = entries.get(owner);
        if (old != null && old.record.state() != EndpointState.GONE) {
            old.record = old.record.with(EndpointState.GONE);
            old.lastReportAt = nowMillis;
            changed.add(old.record);
        }
    }

    private static boolean isSameForCallers(EndpointRecord a, EndpointRecord b) {
        return a.incarnation() == b.incarnation()
                && a.state() == b.state()
                && a.address().equals(b.address())
                && a.service().equals(b.service())
                && a.slots() == b.slots();
    }
}
