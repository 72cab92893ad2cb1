package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.EnumMap;
import java.util.Map;

/** Orders the accounts of a rank by virtual counters, and computes shares, floors and headroom. */
final class Fairness {
    private static final double OVER_SHARE_FACTOR = 2;
    private static final double MAY_DISPLACE_BELOW_FACTOR = 1.25;

    private final Map<Rank, VirtualCounters> counters = new EnumMap<>(Rank.class);
    private final LengthEstimator lengths;
    private PolicyRules rules;

    Fairness(Map<Rank, VirtualCounters> counters, LengthEstimator lengths, PolicyRules rules) {
        this.counters.putAll(counters);
        this.lengths = lengths;
        this.rules = rules;
    }

    void setRules(PolicyRules newRules) {
        rules = newRules;
    }

    double counter(Rank rank, AccountId account) {
        return counters.get(rank).counter(account);
    }

    /** Returns the expected increment of the counter of {@code account} by one more request. */
    double counterIncrement(Rank rank, AccountId account) {
        return lengths.meanCost(rank, account) / rules.accountPolicy(account).weight();
    }

    /** Returns whether {@code account} runs more than twice its nominal share of {@code slots}. */
    boolean isOverShare(Rank rank, AccountId account, int slots) {
        VirtualCounters c = counters.get(rank);
        return c.running(account) > OVER_SHARE_FACTOR * c.nominalSlots(account, slots);
    }

    /** Returns whether accounts far over their share may be suspended for {@code account}. */
    boolean mayDisplace(Rank rank, AccountId account, int slots) {
        VirtualCounters c = counters.get(rank);
        return c.running(account) < MAY_DISPLACE_BELOW_FACTOR * c.nominalSlots(account, slots);
    }

    /** Returns how many slots accounts over their share leave unused for bursts of the others. */
    int shareHeadroom(long now, Rank rank, int slots) {
        int runningWithinShare =
                counters.get(rank).runningWithinShare(now, slots, OVER_SHARE_FACTOR);
        return (int) Math.ceil(rules.shareHeadroom() * Math.sqrt(runningWithinShare));
    }

    /** Returns how many slots bulk work leaves unused for new urgent requests. */
    int urgentHeadroom(int urgentRunning) {
        return (int) Math.ceil(rules.urgentHeadroom() * Math.sqrt(urgentRunning));
    }

    /** Returns how many of {@code slots} are reserved for the rank while it has work. */
    int floorSlots(Rank rank, int slots) {
        return (int) Math.ceil(rules.floor(rank) * slots);
    }
}
