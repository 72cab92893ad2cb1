package io.siskintrail.internal.policy;

import io.siskintrail.lib.Rank;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Chooses which running generations of this router make room when a coordinator asks for it. */
final class Suspender {
    private final EndpointTable endpoints;
    private final Fairness fairness;
    private final Consumer<Work> onSuspend;
    private final Set<Work> running = new LinkedHashSet<>();
    private final Set<Work> suspending = new LinkedHashSet<>();
    private PolicyRules rules = PolicyRules.DEFAULT;

    Suspender(EndpointTable endpoints, Fairness fairness, Consumer<Work> onSuspend) {
        this.endpoints = endpoints;
        this.fairness = fairness;
        this.onSuspend = onSuspend;
    }

    void rules(PolicyRules newRules) {
        rules = newRules;
    }

    void started(Work work) {
        if (work.request.maxOutputTokens() > 0) {
            running.add(work);
        }
    }

    /** Forgets work that runs no more. */
    void ended(Work work) {
        running.remove(work);
        suspending.remove(work);
    }

    /** Returns how many generations of {@code rank} are being suspended. */
    int suspending(Rank rank) {
        return (int) suspending.stream().filter(w -> w.request.rank() == rank).count();
    }

    /** Returns how many generations in {@code pool} are being suspended. */
    int suspending(String pool) {
        return (int) suspending.stream().filter(w -> w.endpoint.pool.equals(pool)).count();
    }

    /** Returns how many generations in {@code pool} could be suspended, for each kind. */
    int[] possible(long now, String pool, int slots) {
        int[] counts = new int[SuspendKind.values().length];
        for (Work w : running) {
            if (!w.endpoint.pool.equals(pool) || !maySuspend(now, w)) {
                continue;
            }
            for (SuspendKind kind : SuspendKind.values()) {
                counts[kind.ordinal()] += fits(w, kind, slots) ? 1 : 0;
            }
        }
        return counts;
    }

    /** Suspends the cheapest generation of {@code kind}; returns whether there was one. */
    boolean suspendOne(long now, SuspendKind kind, int slots) {
        Work victim = null;
        for (Work w : running) {
            boolean better = victim == null || isCheaper(w, victim, slots);
            if (better && fits(w, kind, slots) && maySuspend(now, w)) {
                victim = w;
            }
        }
        if (victim == null) {
            return false;
        }
        running.remove(victim);
        suspending.add(victim);
        onSuspend.accept(victim);
        return true;
    }

    private boolean fits(Work w, SuspendKind kind, int slots) {
        Rank rank = w.request.rank();
        return switch (kind) {
            case BULK -> rank == Rank.BULK;
            case URGENT_OVER_SHARE -> rank == Rank.URGENT && isOverShare(w, slots);
            case BULK_OVER_SHARE -> rank == Rank.BULK && isOverShare(w, slots);
        };
    }

    private boolean isOverShare(Work w, int slots) {
        return fairness.isOverShare(w.request.rank(), w.request.account(), slots);
    }

    private boolean isCheaper(Work w, Work than, int slots) {
        boolean over = isOverShare(w, slots);
        if (over != isOverShare(than, slots)) {
            return over;
        }
        if (w.suspensions != than.suspensions) {
            return w.suspensions < than.suspensions;
        }
        return w.promptTokens < than.promptTokens;
    }

    private boolean maySuspend(long now, Work w) {
        return endpoints.get(w.endpoint.info.id()) == w.endpoint
                && w.suspensions < rules.maxSuspensions()
                && now - w.startedAt >= rules.minRunMillis();
    }
}
