package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When each endpoint was last known to take work, by the clock of this host. What another host
 * reports counts from the moment it was asked, so a late answer proves nothing new.
 */
final class EvidenceBook {
    private final Map<EndpointId, Seen> renewals = new HashMap<>();
    private final Map<EndpointId, Seen> evidence = new HashMap<>();

    private record Seen(long incarnation, long atMillis) {

        boolean isNewerThan(Seen other) {
            return other == null
                    || incarnation > other.incarnation
                    || (incarnation == other.incarnation && atMillis > other.atMillis);
        }
    }

    /** Notes an announcement to this host. */
    void renewed(EndpointId id, long incarnation, long nowMillis) {
        renewals.put(id, new Seen(incarnation, nowMillis));
        seen(id, incarnation, nowMillis);
    }

    /** Notes that the endpoint took work at {@code atMillis} or later. */
    void seen(EndpointId id, long incarnation, long atMillis) {
        Seen seen = new Seen(incarnation, atMillis);
        if (seen.isNewerThan(evidence.get(id))) {
            evidence.put(id, seen);
        }
    }

    /** Returns the time of the last evidence for an incarnation, or {@link Long#MIN_VALUE}. */
    long lastSeen(EndpointId id, long incarnation) {
        return at(evidence.get(id), incarnation);
    }

    /** Returns the time of the last announcement to this host, or {@link Long#MIN_VALUE}. */
    long lastRenewed(EndpointId id, long incarnation) {
        return at(renewals.get(id), incarnation);
    }

    private static long at(Seen seen, long incarnation) {
        return seen == null || seen.incarnation != incarnation ? Long.MIN_VALUE : seen.atMillis;
    }

    /** Returns the announcements to this host that are younger than {@code lifeMillis}. */
    List<Renewal> report(long nowMillis, long lifeMillis) {
        List<Renewal> report = new ArrayList<>();
        renewals.forEach(
                (id, r) -> {
                    long age = nowMillis - r.atMillis;
                    if (age < lifeMillis) {
                        report.add(new Renewal(id, r.incarnation, age));
                    }
                });
        return report;
    }

    /** Drops what was noted before {@code millis}. */
    void forgetBefore(long millis) {
        renewals.values().removeIf(s -> s.atMillis < millis);
        evidence.values().removeIf(s -> s.atMillis < millis);
    }

    /** Drops the announcements of an endpoint that leaves. */
    void drop(EndpointId id) {
        renewals.remove(id);
        evidence.remove(id);
    }
}
