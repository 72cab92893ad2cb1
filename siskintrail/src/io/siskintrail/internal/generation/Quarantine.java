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
 * Finds requests that crash the endpoints that run them. Every router tells the others what ran on
 * an endpoint that died. A fingerprint is blamed when it ran on at least two endpoints that died
 * and nothing else ran on all of them. So a bystander that shared one endpoint, or both together
 * with the culprit, is not blamed.
 *
 * <p>A death says nothing when another endpoint died at about the same time without the
 * fingerprint: then a host, a rack or a network is the likelier cause.
 */
public final class Quarantine implements StateMachine<QuarantineInput, QuarantineEffect> {
    /** How long reports of other routers about a death are waited for. */
    public static final long SETTLE_MILLIS = 400;

    /** How long a death counts as evidence. */
    public static final long EVIDENCE_MILLIS = 600_000;

    /** How long a fingerprint is refused. */
    public static final long QUARANTINE_MILLIS = 600_000;

    private static final long SAME_DEATH_MILLIS = 5_000;
    private static final long SAME_CAUSE_MILLIS = 1_000;
    private static final int MIN_DEATHS = 2;

    private final List<Death> deaths = new ArrayList<>();
    private final Map<Fingerprint, Long> until = new LinkedHashMap<>();
    private long judgedUpTo = Long.MIN_VALUE;
    private List<QuarantineEffect> effects = new ArrayList<>();

    @Override
    public List<QuarantineEffect> step(long nowMillis, QuarantineInput input) {
        if (input instanceof QuarantineInput.Died in) {
            add(nowMillis, in.endpoint(), in.running());
            effects.add(new QuarantineEffect.Report(in.endpoint(), in.running()));
        } else if (input instanceof QuarantineInput.Reported in) {
            add(nowMillis, in.endpoint(), in.running());
        } else if (input instanceof QuarantineInput.Announced in) {
            impose(in.fingerprint(), nowMillis + in.millis());
        } else if (input instanceof QuarantineInput.Succeeded in) {
            deaths.forEach(death -> death.running.remove(in.fingerprint()));
        } else {
            tick(nowMillis);
        }
        List<QuarantineEffect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }

    private void add(long now, EndpointId endpoint, Set<Fingerprint> running) {
        for (Death death : deaths) {
            if (death.endpoint.equals(endpoint) && now - death.at < SAME_DEATH_MILLIS) {
                death.running.addAll(running);
                return;
            }
        }
        Death death = new Death(endpoint, now);
        death.running.addAll(running);
        deaths.add(death);
    }

    private void tick(long now) {
        deaths.removeIf(death -> now - death.at > EVIDENCE_MILLIS);
        until.entrySet()
                .removeIf(
                        e -> {
                            boolean over = now >= e.getValue();
                            if (over) {
                                effects.add(new QuarantineEffect.Quarantined(e.getKey(), false));
                            }
                            return over;
                        });
        long settled = now - SETTLE_MILLIS;
        boolean news = deaths.stream().anyMatch(d -> d.at > judgedUpTo && d.at <= settled);
        if (news) {
            judgedUpTo = settled;
            judge(now, settled);
        }
    }

    private void judge(long now, long settled) {
        Map<Fingerprint, List<Death>> evidence = new HashMap<>();
        for (Death death : deaths) {
            for (Fingerprint fingerprint : death.running) {
                if (death.at <= settled && !hasOtherCause(death, fingerprint)) {
                    evidence.computeIfAbsent(fingerprint, f -> new ArrayList<>()).add(death);
                }
            }
        }
        evidence.forEach(
                (fingerprint, seen) -> {
                    if (seen.size() >= MIN_DEATHS && isAlone(seen)) {
                        impose(fingerprint, now + QUARANTINE_MILLIS);
                        effects.add(new QuarantineEffect.Announce(fingerprint, QUARANTINE_MILLIS));
                    }
                });
    }

    /** Returns whether an endpoint without the fingerprint died at about the same time. */
    private boolean hasOtherCause(Death death, Fingerprint fingerprint) {
        return deaths.stream()
                .anyMatch(
                        d ->
                                d != death
                                        && Math.abs(d.at - death.at) < SAME_CAUSE_MILLIS
                                        && !d.running.contains(fingerprint));
    }

    private static boolean isAlone(List<Death> seen) {
        Set<Fingerprint> common = new HashSet<>(seen.get(0).running);
        seen.forEach(death -> common.retainAll(death.running));
        return common.size() == 1;
    }

    private void impose(Fingerprint fingerprint, long end) {
        if (until.put(fingerprint, end) == null) {
            effects.add(new QuarantineEffect.Quarantined(fingerprint, true));
        }
    }

    private static final class Death {
        private final EndpointId endpoint;
        private final long at;
        private final Set<Fingerprint> running = new HashSet<>();

        private Death(EndpointId endpoint, long at) {
            this.endpoint = endpoint;
            this.at = at;
        }
    }
}
