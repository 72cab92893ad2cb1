package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/**
 * Lets few of many hosts vouch for a part that all of them saw answered. Load pattern: one crash is
 * reported to hundreds of hosts at once. A few hosts, chosen at random, vouch at once; if nobody
 * did, some more follow, and at last all others, so that a part that only one host knows is still
 * vouched for. Not thread-safe.
 */
final class VouchDelays {
    /** Time in which the word of another host arrives. */
    static final long STAGE_MILLIS = 40;

    /** Expected number of hosts that vouch at once, and after one stage without a word. */
    private static final int[] HOSTS_OF_STAGE = {4, 16};

    private final IntSupplier hostCount;
    private final DoubleSupplier random;
    private final Map<PromptPart, Long> dueAtMillis = new LinkedHashMap<>();

    /**
     * Creates an empty plan.
     *
     * @param hostCount returns how many hosts there are, this one included
     * @param random a source of uniformly distributed numbers from 0 to below 1
     */
    VouchDelays(IntSupplier hostCount, DoubleSupplier random) {
        this.hostCount = hostCount;
        this.random = random;
    }

    /**
     * Plans to vouch for the parts; returns those to vouch for at once.
     *
     * @param parts parts that this host saw answered
     */
    Set<PromptPart> plan(Set<PromptPart> parts, long nowMillis) {
        Set<PromptPart> atOnce = new HashSet<>();
        for (PromptPart part : parts) {
            long delay = drawDelayMillis();
            if (delay == 0) {
                dueAtMillis.remove(part);
                atOnce.add(part);
            } else {
                dueAtMillis.putIfAbsent(part, nowMillis + delay);
            }
        }
        return atOnce;
    }

    /** Drops the plans for parts that another host has vouched for. */
    void drop(Set<PromptPart> parts) {
        dueAtMillis.keySet().removeAll(parts);
    }

    /** Returns the parts whose time to be vouched for has come, and drops their plans. */
    Set<PromptPart> takeDue(long nowMillis) {
        Set<PromptPart> due = new HashSet<>();
        dueAtMillis.forEach(
                (part, at) -> {
                    if (at <= nowMillis) {
                        due.add(part);
                    }
                });
        drop(due);
        return due;
    }

    /** Returns when the next plan is due, or {@code Long.MAX_VALUE} when there is none. */
    long nextDueAtMillis() {
        return dueAtMillis.values().stream().mapToLong(at -> at).min().orElse(Long.MAX_VALUE);
    }

    private long drawDelayMillis() {
        double drawn = random.getAsDouble() * hostCount.getAsInt();
        int stage = 0;
        while (stage < HOSTS_OF_STAGE.length && drawn >= HOSTS_OF_STAGE[stage]) {
            stage++;
        }
        return stage * STAGE_MILLIS;
    }
}
