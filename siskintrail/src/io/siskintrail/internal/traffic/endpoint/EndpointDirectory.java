package io.siskintrail.internal.traffic.endpoint;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges reports about endpoints; the result does not depend on their order or on the number of
 * reporters. Used by the registry, which receives reports from the endpoints themselves, and by
 * edges, which receive them from registries. Not thread-safe.
 *
 * <p>Records are filed by id and service. A record ends one of another service, with the same id or
 * address, only if the configuration names both services: a report of another writer names one that
 * no configuration knows, and changes nothing for the endpoint whose id or address it carries.
 */
public final class EndpointDirectory {
    /** Order of the records of one id: the one that the id most likely stands for is the last. */
    private final Comparator<EndpointRecord> byCredibility =
            Comparator.comparing((EndpointRecord r) -> isConfigured(r.service()))
                    .thenComparing(r -> r.state() != EndpointState.GONE)
                    .thenComparing(EndpointRecord::incarnation)
                    .thenComparing(r -> r.service().toString());

    private final long silentAfterMillis;
    private final long forgetAfterMillis;
    private final Map<EndpointKey, Entry> entries = new HashMap<>();
    private final EndpointIndex index = new EndpointIndex();
    private Set<ServiceName> services = Set.of();

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
     * Sets the services that the configuration names, none before the first call. A registry, which
     * does not read configurations, leaves it at that.
     *
     * @return the records that ended because another one now counts for their id or address
     */
    public List<EndpointRecord> setServices(Set<ServiceName> names, long nowMillis) {
        if (names.equals(services)) {
            return List.of();
        }
        services = Set.copyOf(names);
        List<EndpointRecord> ended = new ArrayList<>();
        for (Entry e : entries.values()) {
            if (e.record.state() != EndpointState.GONE && isSuperseded(e.record)) {
                end(e, nowMillis, ended);
            }
        }
        return ended;
    }

    /**
     * Merges a report into the directory.
     *
     * @param received the report; with incarnation 0 it only changes the state of a known record at
     *     the same address
     * @param nowMillis monotonic time
     * @return the records that changed in a way that matters to callers of endpoints; empty when
     *     the report was outdated or only renewed the known record
     */
    public List<EndpointRecord> mergeReport(EndpointRecord received, long nowMillis) {
        EndpointKey key = EndpointKey.of(received);
        Entry known = entries.get(key);
        EndpointRecord report = received;
        if (received.incarnation() == 0 && known != null) {
            if (!received.address().equals(known.record.address())) {
                return List.of();
            }
            report = known.record.with(received.state());
        }
        if (known != null && !report.isNewerThan(known.record)) {
            return List.of();
        }
        if (isSuperseded(report)) {
            return List.of();
        }
        EndpointRecord before = known == null ? null : known.record;
        put(key, before, new Entry(report, nowMillis));
        List<EndpointRecord> changed = new ArrayList<>();
        if (before == null || !isSameForCallers(before, report)) {
            changed.add(report);
        }
        if (report.state() != EndpointState.GONE) {
            endSuperseded(report, nowMillis, changed);
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
                index.remove(e.record);
                iterator.remove();
            }
        }
        return changed;
    }

    /**
     * Returns the record that {@code id} stands for, or null when it is unknown. Of records with
     * different services, one of a configured service comes first.
     */
    public EndpointRecord get(EndpointId id) {
        return recordsOf(id).stream().max(byCredibility).orElse(null);
    }

    /** Returns the records of {@code id}, one for each service that was reported under it. */
    public List<EndpointRecord> recordsOf(EndpointId id) {
        return index.withId(id).stream().map(key -> entries.get(key).record).toList();
    }

    /** Returns all records, including those of ended incarnations. */
    public Collection<EndpointRecord> records() {
        List<EndpointRecord> all = new ArrayList<>(entries.size());
        entries.values().forEach(e -> all.add(e.record));
        return all;
    }

    private boolean isConfigured(ServiceName service) {
        return services.contains(service);
    }

    private void put(EndpointKey key, EndpointRecord before, Entry entry) {
        if (before != null) {
            index.remove(before);
        }
        entries.put(key, entry);
        index.add(entry.record);
    }

    /** Returns whether an endpoint with a later start has the address or the id of a record. */
    private boolean isSuperseded(EndpointRecord record) {
        return rivalsOf(record).stream()
                .anyMatch(e -> e.record.incarnation() > record.incarnation());
    }

    /** Ends the endpoints whose address or id a record has taken over. */
    private void endSuperseded(
            EndpointRecord record, long nowMillis, List<EndpointRecord> changed) {
        for (Entry e : rivalsOf(record)) {
            boolean isSameStart = e.record.incarnation() == record.incarnation();
            boolean contradicts = isSameStart && e.record.id().equals(record.id());
            if (e.record.state() != EndpointState.GONE && !contradicts) {
                end(e, nowMillis, changed);
            }
        }
    }

    private static void end(Entry entry, long nowMillis, List<EndpointRecord> changed) {
        entry.record = entry.record.with(EndpointState.GONE);
        entry.lastReportAt = nowMillis;
        changed.add(entry.record);
    }

    /** Returns the other entries with the address or the id of a record that it competes with. */
    private List<Entry> rivalsOf(EndpointRecord record) {
        List<Entry> rivals = new ArrayList<>();
        for (EndpointKey key : index.sharing(record)) {
            boolean isComparable =
                    key.service().equals(record.service())
                            || isConfigured(key.service()) && isConfigured(record.service());
            if (isComparable) {
                rivals.add(entries.get(key));
            }
        }
        return rivals;
    }

    private static boolean isSameForCallers(EndpointRecord a, EndpointRecord b) {
        return a.incarnation() == b.incarnation()
                && a.state() == b.state()
                && a.address().equals(b.address())
                && a.slots() == b.slots()
                && a.version().equals(b.version());
    }
}
