package io.siskintrail.internal.policy;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the request whose content kills the endpoints that run it. Each router reports what it had
 * running on an endpoint when that endpoint died; every router hears all reports and judges alike.
 *
 * <p>Content is quarantined when it ran at two deaths and nothing else did, so that a request that
 * only shared the endpoint is never blamed; when others ran at both, a further death decides.
 * Deaths of several endpoints of one failure domain at about the same time have another cause and
 * do not count. Not thread-safe; time is given by the caller.
 */
public final class PoisonDetector {
    /** How long content stays quarantined, in milliseconds. */
    public static final long QUARANTINE_MILLIS = 600_000;

    private static final long SETTLE_MILLIS = 300;
    private static final long TOGETHER_MILLIS = 1_000;
    private static final int TOGETHER_COUNT = 3;
    private static final long WINDOW_MILLIS = 300_000;
    private static final int MAX_DEATHS = 256;

    private final LinkedHashMap<DeathId, Death> deaths = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> quarantined = new HashMap<>();

    /** One death of an endpoint, which all routers name alike. */
    record DeathId(EndpointId endpoint, long incarnation) {}

    private static final class Death {
        private final FailureDomain domain;
        private final long at;
        private final Set<Fingerprint> running = new HashSet<>();

        private Death(FailureDomain domain, long at) {
            this.domain = domain;
            this.at = at;
        }
    }

    /**
     * Takes a report of one router.
     *
     * @param endpoint the endpoint that died
     * @param incarnation its incarnation
     * @param domain its failure domain
     * @param running what the reporting router had running there
     */
    public void report(
            long now,
            EndpointId endpoint,
            long incarnation,
            FailureDomain domain,
            List<Fingerprint> running) {
        deaths.computeIfAbsent(new DeathId(endpoint, incarnation), d -> new Death(domain, now))
                .running
                .addAll(running);
        if (deaths.size() > MAX_DEATHS) {
            deaths.remove(deaths.keySet().iterator().next());
        }
    }

    /** Returns the contents that are to be refused from now on. */
    public List<Fingerprint> judge(long now) {
        deaths.values().removeIf(d -> now - d.at > WINDOW_MILLIS);
        List<Death> counted =
                deaths.values().stream()
                        .filter(d -> now - d.at >= SETTLE_MILLIS)
                        .filter(d -> !isCommonCause(d))
                        .toList();
        List<Fingerprint> found = new ArrayList<>();
        for (int i = 0; i < counted.size(); i++) {
            for (int j = 0; j < i; j++) {
                Fingerprint guilty = onlyCommon(counted.get(i), counted.get(j), counted);
                if (guilty != null && !quarantined.containsKey(guilty)) {
                    quarantined.put(guilty, now + QUARANTINE_MILLIS);
                    found.add(guilty);
                }
            }
        }
        return found;
    }

    /** Returns the contents whose time is over, and forgets them. */
    public List<Fingerprint> release(long now) {
        List<Fingerprint> over =
                quarantined.entrySet().stream()
                        .filter(e -> e.getValue() <= now)
                        .map(Map.Entry::getKey)
                        .toList();
        over.forEach(quarantined::remove);
        return over;
    }

    private boolean isCommonCause(Death death) {
        long together =
                deaths.values().stream()
                        .filter(d -> d.domain.equals(death.domain))
                        .filter(d -> Math.abs(d.at - death.at) <= TOGETHER_MILLIS)
                        .count();
        return together >= TOGETHER_COUNT;
    }

    /** Returns the only content that ran at both deaths, or at all deaths of one of several. */
    private static Fingerprint onlyCommon(Death a, Death b, List<Death> all) {
        Set<Fingerprint> common = new HashSet<>(a.running);
        common.retainAll(b.running);
        if (common.size() == 1) {
            return common.iterator().next();
        }
        for (Death other : all) {
            Set<Fingerprint> narrowed = new HashSet<>(common);
            narrowed.retainAll(other.running);
            if (other != a && other != b && narrowed.size() == 1) {
                return narrowed.iterator().next();
            }
        }
        return null;
    }
}
