package io.siskintrail.internal.traffic.placement;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides for how long the other engines of a failure domain are avoided after some of its engines
 * were lost. Load: nine in ten engines of a domain are lost at once. Each stream that then tries
 * another engine of the domain loses a retry and time; a silent engine costs a connection timeout.
 * Not thread-safe.
 */
public final class DomainLosses {
    /** Time within which losses of engines belong together. */
    private static final long WINDOW_MILLIS = 400;

    /** Number of lost engines from which the whole domain counts as lost. */
    private static final int DOMAIN_LOST_ENGINES = 3;

    /** Number of lost engines from which the others are avoided; a single one may fail alone. */
    private static final int SUSPECT_ENGINES = 2;

    /** Avoidance until other hosts could report that they lost engines of the domain too. */
    private static final long SUSPECT_MILLIS = 250;

    /** Avoidance after the loss of the domain: less than the restart of an engine takes. */
    private static final long DOMAIN_LOSS_MILLIS = 1_000;

    private final Map<FailureDomain, Map<EndpointId, Long>> lostAt = new HashMap<>();

    /**
     * Records that an engine was lost, as seen by this host or reported by another.
     *
     * @param nowMillis monotonic time
     * @return for how many milliseconds from now the engines of the domain should be avoided; 0 if
     *     they need not be
     */
    public long recordLoss(FailureDomain domain, EndpointId engine, long nowMillis) {
        Map<EndpointId, Long> losses = lostAt.computeIfAbsent(domain, d -> new LinkedHashMap<>());
        losses.remove(engine);
        losses.put(engine, nowMillis);
        removeOldest(losses, nowMillis);
        if (losses.size() >= DOMAIN_LOST_ENGINES) {
            return DOMAIN_LOSS_MILLIS;
        }
        return losses.size() >= SUSPECT_ENGINES ? SUSPECT_MILLIS : 0;
    }

    private static void removeOldest(Map<EndpointId, Long> losses, long nowMillis) {
        Iterator<Long> times = losses.values().iterator();
        while (times.hasNext() && nowMillis - times.next() > WINDOW_MILLIS) {
            times.remove();
        }
    }
}
