package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Merges what is said of endpoints, in any order and from any number of reporters. Used by the
 * registry, which hears endpoints themselves, and by edges, which hear registries. Not safe for use
 * by several threads.
 */
public final class EndpointDirectory {
    private final long silentAfterMillis;
    private final long forgetAfterMillis;
    private final Map<EndpointId, Entry> entries = new HashMap<>();
    private final Map<String, EndpointId> byAddress = new HashMap<>();

    private static final class Entry {
        private EndpointRecord record;
        private long heardAt;

        Entry(EndpointRecord record, long heardAt) {
            this.record = record;
            this.heardAt = heardAt;
        }
    }

    /**
     * Makes an empty directory.
     *
     * @param silentAfterMillis how long after the last report an endpoint counts as silent
     * @param forgetAfterMillis how long an ended incarnation is remembered, so that late reports of
     *     it are known as such
     */
    public EndpointDirectory(long silentAfterMillis, long forgetAfterMillis) {
        this.silentAfterMillis = silentAfterMillis;
        this.forgetAfterMillis = forgetAfterMillis;
    }

    /**
     * Takes a report.
     *
     * @return the records that changed for users of endpoints; empty when the report was late or
     *     only renewed what was known
     */
    public List<EndpointRecord> report(EndpointRecord told, long nowMillis) {
        Entry known = entries.get(told.id());
        EndpointRecord report = told;
        if (told.incarnation() == 0 && known != null) {
            report = known.record.with(told.state());
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
        if (before == null || !sameForUsers(before, report)) {
            changed.add(report);
        }
        if (report.state() != EndpointState.GONE) {
            replaceAtAddress(report, nowMillis, changed);
        }
        return changed;
    }

    /** Marks endpoints that were not heard of for long, and forgets ended ones. */
    public List<EndpointRecord> expire(long nowMillis) {
        List<EndpointRecord> changed = new ArrayList<>();
        Iterator<Entry> all = entries.values().iterator();
        while (all.hasNext()) {
            Entry e = all.next();
            long age = nowMillis - e.heardAt;
            if (e.record.state() == EndpointState.READY && age > silentAfterMillis) {
                e.record = e.record.with(EndpointState.SILENT);
                changed.add(e.record);
            } else if (e.record.state() != EndpointState.READY && age > forgetAfterMillis) {
                byAddress.remove(e.record.address(), e.record.id());
                all.remove();
            }
        }
        return changed;
    }

    /** Returns the record of {@code id}, null when unknown. */
    public EndpointRecord get(EndpointId id) {
        Entry e = entries.get(id);
        return e == null ? null : e.record;
    }

    /** Returns all records, ended ones included. */
    public Collection<EndpointRecord> records() {
        List<EndpointRecord> all = new ArrayList<>(entries.size());
        entries.values().forEach(e -> all.add(e.record));
        return all;
    }

    /** An address has one owner: the endpoint there that started last. */
    private boolean isOutdatedAtAddress(EndpointRecord report) {
        EndpointId owner = byAddress.get(report.address());
        if (owner == null || owner.equals(report.id())) {
            return false;
        }
        Entry other = entries.get(owner);
        return other != null && other.record.incarnation() > report.incarnation();
    }

    private void replaceAtAddress(
            EndpointRecord report, long nowMillis, List<EndpointRecord> changed) {
        EndpointId owner = byAddress.put(report.address(), report.id());
        if (owner == null || owner.equals(report.id())) {
            return;
        }
        Entry old = entries.get(owner);
        if (old != null && old.record.state() != EndpointState.GONE) {
            old.record = old.record.with(EndpointState.GONE);
            old.heardAt = nowMillis;
            changed.add(old.record);
        }
    }

    private static boolean sameForUsers(EndpointRecord a, EndpointRecord b) {
        return a.incarnation() == b.incarnation()
                && a.state() == b.state()
                && a.address().equals(b.address())
                && a.service().equals(b.service())
                && a.slots() == b.slots();
    }
}
