package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.EnumMap;
import java.util.Map;

/** Says which account is next within a rank, and how much a start moves it back. */
final class Fairness {
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

    /** Returns how many slots bulk work leaves unused for the next urgent requests. */
    int headroom(int urgentRunning) {
        return (int) Math.ceil(rules.urgentHeadroom() * Math.sqrt(urgentRunning));
    }

    /** Returns how many of {@code slots} the rank keeps while it has work. */
    int floorSlots(Rank rank, int slots) {
        return (int) Math.ceil(rules.of(rank).floor() * slots);
    }
}
