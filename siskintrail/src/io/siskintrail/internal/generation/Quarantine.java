package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Identifies requests that crash the endpoints that run them. Every router reports to the others
 * which requests ran on an endpoint that died. A fingerprint is quarantined when it ran on at least
 * two endpoints that died and no other request ran on all of them. An innocent request that shared
 * one endpoint, or both, with the cause is therefore not quarantined.
 *
 * <p>A death is no evidence against a fingerprint when another endpoint that did not run it died
 * within a second: then a failed host, rack or network is the more likely cause. Deaths at three
 * moments are evidence all the same, since a lost host or rack rarely hits one request three times.
 */
public final class Quarantine implements StateMachine<QuarantineInput, QuarantineEffect> {
    /** Wait for reports of other routers about a death before it is evaluated. */
    public static final long SETTLE_MILLIS = 400;

    /** Period for which a death counts as evidence. */
    public static final long EVIDENCE_MILLIS = 600_000;

    /** Period for which a quarantined fingerprint is refused. */
    public static final long QUARANTINE_MILLIS = 600_000;

    private static final long SAME_DEATH_WINDOW_MILLIS = 5_000;
    private static final long SAME_CAUSE_WINDOW_MILLIS = 1_000;
    private static final int MIN_DEATHS = 2;

    /** Moments of deaths from which on simultaneous deaths no longer speak for another cause. */
    private static final int MIN_MOMENTS_DESPITE_OTHERS = 3;

    private final List<Death> deaths = new ArrayList<>();
    private final Map<Fingerprint, Long> quarantinedUntil = new LinkedHashMap<>();
    private long evaluatedUpTo = Long.MIN_VALUE;
    private List<QuarantineEffect> effects = new ArrayList<>();

    @Override
    public List<QuarantineEffect> step(long nowMillis, QuarantineInput input) {
        if (input instanceof QuarantineInput.Died in) {
            recordDeath(nowMillis, in.endpoint(), in.running());
            effects.add(new QuarantineEffect.Report(in.endpoint(), in.running()));
        } else if (input instanceof QuarantineInput.Reported in) {
            recordDeath(nowMillis, in.endpoint(), in.running());
        } else if (input instanceof QuarantineInput.Announced in) {
            startQuarantine(in.fingerprint(), nowMillis + in.millis());
        } else if (input instanceof QuarantineInput.Succeeded in) {
            deaths.forEach(death -> death.running.remove(in.fingerprint()));
        } else {
            tick(nowMillis);
        }
        List<QuarantineEffect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }

    private void recordDeath(long now, EndpointId endpoint, Set<Fingerprint> running) {
        for (Death death : deaths) {
            if (death.endpoint.equals(endpoint) && now - death.diedAt < SAME_DEATH_WINDOW_MILLIS) {
                death.running.addAll(running);
                return;
            }
        }
        Death death = new Death(endpoint, now);
        death.running.addAll(running);
        deaths.add(death);
    }

    private void tick(long now) {
        deaths.removeIf(death -> now - death.diedAt > EVIDENCE_MILLIS);
        quarantinedUntil
                .entrySet()
                .removeIf(
                        e -> {
                            boolean expired = now >= e.getValue();
                            if (expired) {
                                effects.add(new QuarantineEffect.Quarantined(e.getKey(), false));
                            }
                            return expired;
                        });
        long settledUpTo = now - SETTLE_MILLIS;
        boolean hasNewDeaths =
                deaths.stream().anyMatch(d -> d.diedAt > evaluatedUpTo && d.diedAt <= settledUpTo);
        if (hasNewDeaths) {
            evaluatedUpTo = settledUpTo;
            evaluateDeaths(now, settledUpTo);
        }
    }

    private void evaluateDeaths(long now, long settledUpTo) {
        Map<Fingerprint, List<Death>> settled = new HashMap<>();
        for (Death death : deaths) {
            for (Fingerprint fingerprint : death.running) {
                if (death.diedAt <= settledUpTo) {
                    settled.computeIfAbsent(fingerprint, f -> new ArrayList<>()).add(death);
                }
            }
        }
        settled.forEach(
                (fingerprint, deathsOfFingerprint) -> {
                    List<Death> evidence = findEvidence(fingerprint, deathsOfFingerprint);
                    if (evidence.size() >= MIN_DEATHS && isOnlyCommonRequest(evidence)) {
                        startQuarantine(fingerprint, now + QUARANTINE_MILLIS);
                        effects.add(new QuarantineEffect.Announce(fingerprint, QUARANTINE_MILLIS));
                    }
                });
    }

    /** Returns the deaths that count against the fingerprint among those of its endpoints. */
    private List<Death> findEvidence(Fingerprint fingerprint, List<Death> deathsOfFingerprint) {
        if (countMoments(deathsOfFingerprint) >= MIN_MOMENTS_DESPITE_OTHERS) {
            return deathsOfFingerprint;
        }
        return deathsOfFingerprint.stream().filter(d -> !hasOtherCause(d, fingerprint)).toList();
    }

    /** Returns the number of moments at which the ordered deaths came, each with its own cause. */
    private static int countMoments(List<Death> ordered) {
        int moments = 0;
        long start = 0;
        for (Death death : ordered) {
            if (moments == 0 || death.diedAt - start >= SAME_CAUSE_WINDOW_MILLIS) {
                moments++;
                start = death.diedAt;
            }
        }
        return moments;
    }

    /** Returns whether an endpoint that did not run the fingerprint died at about the same time. */
    private boolean hasOtherCause(Death death, Fingerprint fingerprint) {
        return deaths.stream()
                .anyMatch(
                        d ->
                                d != death
                                        && Math.abs(d.diedAt - death.diedAt)
                                                < SAME_CAUSE_WINDOW_MILLIS
                                        && !d.running.contains(fingerprint));
    }

    private static boolean isOnlyCommonRequest(List<Death> deathsOfFingerprint) {
        Set<Fingerprint> common = new HashSet<>(deathsOfFingerprint.get(0).running);
        deathsOfFingerprint.forEach(death -> common.retainAll(death.running));
        return common.size() == 1;
    }

    private void startQuarantine(Fingerprint fingerprint, long end) {
        if (quarantinedUntil.put(fingerprint, end) == null) {
            effects.add(new QuarantineEffect.Quarantined(fingerprint, true));
        }
    }

    private static final class Death {
        private final EndpointId endpoint;
        private final long diedAt;
        private final Set<Fingerprint> running = new HashSet<>();

        private Death(EndpointId endpoint, long diedAt) {
            this.endpoint = endpoint;
            this.diedAt = diedAt;
        }
    }
}
