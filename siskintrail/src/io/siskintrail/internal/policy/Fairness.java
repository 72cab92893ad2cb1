package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.EnumMap;
import java.util.Map;

/** Says which account is next within a rank, and how much a start moves it back. */
final class Fairness {
    private static final double OVER_SHARE = 2;
    private static final double BELOW_SHARE = 1.25;

    private final Map<Rank, VirtualCounters> counters = new EnumMap<>(Rank.class);
    private final LengthEstimator lengths;
    private PolicyRules rules;

    Fairness(Map<Rank, VirtualCounters> counters, LengthEstimator lengths, PolicyRules rules) {
        this.counters.putAll(counters);
        this.lengths = lengths;
        this.rules = rules;
    }

    void rules(PolicyRules newRules) {
        rules = newRules;
    }

    double counter(Rank rank, AccountId account) {
        return counters.get(rank).counter(account);
    }

    /** Returns how far one more request moves the counter of {@code account}. */
    double step(Rank rank, AccountId account) {
        return lengths.meanCost(rank, account) / rules.of(account).weight();
    }

    /** Returns whether {@code account} runs far more than its nominal share of {@code slots}. */
    boolean isOverShare(Rank rank, AccountId account, int slots) {
        VirtualCounters c = counters.get(rank);
        return c.running(account) > OVER_SHARE * c.nominalSlots(account, slots);
    }

    /** Returns whether others far over their share may be suspended for {@code account}. */
    boolean mayDisplace(Rank rank, AccountId account, int slots) {
        VirtualCounters c = counters.get(rank);
        return c.running(account) < BELOW_SHARE * c.nominalSlots(account, slots);
    }

    /** Returns how many slots accounts over their share leave to the bursts of the others. */
    int shareHeadroom(long now, Rank rank, int slots) {
        int within = counters.get(rank).runningWithinShare(now, slots, OVER_SHARE);
        return (int) Math.ceil(rules.shareHeadroom() * Math.sqrt(within));
    }

    /** Returns how many slots bulk work leaves unused for the next urgent requests. */
    int headroom(int urgentRunning) {
        return (int) Math.ceil(rules.urgentHeadroom() * Math.sqrt(urgentRunning));
    }

    /** Returns how many of {@code slots} the rank keeps while it has work. */
    int floorSlots(Rank rank, int slots) {
        return (int) Math.ceil(rules.floor(rank) * slots);
    }
}
