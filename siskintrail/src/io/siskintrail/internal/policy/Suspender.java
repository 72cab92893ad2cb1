package io.siskintrail.internal.policy;

import io.siskintrail.lib.Rank;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Chooses running generations of this router to suspend when a coordinator requests it. */
final class Suspender {
    private final EndpointTable endpoints;
    private final Fairness fairness;
    private final Consumer<WorkItem> onSuspend;
    private final Set<WorkItem> running = new LinkedHashSet<>();
    private final Set<WorkItem> suspending = new LinkedHashSet<>();
    private PolicyRules rules = PolicyRules.DEFAULT;

    Suspender(EndpointTable endpoints, Fairness fairness, Consumer<WorkItem> onSuspend) {
        this.endpoints = endpoints;
        this.fairness = fairness;
        this.onSuspend = onSuspend;
    }

    void setRules(PolicyRules newRules) {
        rules = newRules;
    }

    void recordStart(WorkItem work) {
        if (work.request.maxOutputTokens() > 0) {
            running.add(work);
        }
    }

    /** Removes {@code work}, which no longer runs. */
    void recordEnd(WorkItem work) {
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

    /** Returns how many generations in {@code pool} could be suspended, indexed by kind. */
    int[] countSuspendable(long now, String pool, int slots) {
        int[] counts = new int[SuspendKind.values().length];
        for (WorkItem w : running) {
            if (!w.endpoint.pool.equals(pool) || !isSuspendable(now, w)) {
                continue;
            }
            for (SuspendKind kind : SuspendKind.values()) {
                counts[kind.ordinal()] += matchesKind(w, kind, slots) ? 1 : 0;
            }
        }
        return counts;
    }

    /** Suspends the cheapest generation of {@code kind}; returns false when there is none. */
    boolean suspendOne(long now, SuspendKind kind, int slots) {
        WorkItem cheapest = null;
        for (WorkItem w : running) {
            boolean isCandidate = cheapest == null || isCheaper(w, cheapest, slots);
            if (isCandidate && matchesKind(w, kind, slots) && isSuspendable(now, w)) {
                cheapest = w;
            }
        }
        if (cheapest == null) {
            return false;
        }
        running.remove(cheapest);
        suspending.add(cheapest);
        onSuspend.accept(cheapest);
        return true;
    }

    private boolean matchesKind(WorkItem w, SuspendKind kind, int slots) {
        Rank rank = w.request.rank();
        return switch (kind) {
            case BULK -> rank == Rank.BULK;
            case URGENT_OVER_SHARE -> rank == Rank.URGENT && isOverShare(w, slots);
            case BULK_OVER_SHARE -> rank == Rank.BULK && isOverShare(w, slots);
        };
    }

    private boolean isOverShare(WorkItem w, int slots) {
        return fairness.isOverShare(w.request.rank(), w.request.account(), slots);
    }

    private boolean isCheaper(WorkItem w, WorkItem other, int slots) {
        boolean isOver = isOverShare(w, slots);
        if (isOver != isOverShare(other, slots)) {
            return isOver;
        }
        if (w.suspensions != other.suspensions) {
            return w.suspensions < other.suspensions;
        }
        return w.promptTokens < other.promptTokens;
    }

    private boolean isSuspendable(long now, WorkItem w) {
        return endpoints.get(w.endpoint.info.id()) == w.endpoint
                && w.suspensions < rules.maxSuspensions()
                && now - w.startedAtMillis >= rules.minRunMillis();
    }
}
