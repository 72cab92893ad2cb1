package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.HashMap;
import java.util.Map;

/** Guesses how many tokens a request will generate, from those of the same account and rank. */
final class LengthEstimator {
    private static final double NEWEST_SHARE = 0.1;
    private static final double UNKNOWN_OUTPUT_TOKENS = 128;

    /** Cost of a request beside its tokens, in output tokens. */
    static final double REQUEST_COST = 1;

    private final Map<Key, Mean> means = new HashMap<>();

    /** Returns the expected output tokens of {@code request}. */
    double outputTokens(WorkRequest request) {
        if (request.maxOutputTokens() == 0) {
            return 0;
        }
        Mean m = means.get(new Key(request.rank(), request.account()));
        double guess = m == null ? UNKNOWN_OUTPUT_TOKENS : m.output;
        return Math.min(request.maxOutputTokens(), guess);
    }

    /** Returns the mean cost of a request, in output tokens. */
    double meanCost(Rank rank, AccountId account) {
        Mean m = means.get(new Key(rank, account));
        return m == null ? UNKNOWN_OUTPUT_TOKENS : m.cost;
    }

    /** Learns from a finished request. */
    void learn(WorkRequest request, int outputTokens, double cost) {
        Mean m =
                means.computeIfAbsent(
                        new Key(request.rank(), request.account()),
                        k -> new Mean(outputTokens, cost));
        m.output += NEWEST_SHARE * (outputTokens - m.output);
        m.cost += NEWEST_SHARE * (cost - m.cost);
    }

    private record Key(Rank rank, AccountId account) {}

    private static final class Mean {
        private double output;
        private double cost;

        private Mean(double output, double cost) {
            this.output = output;
            this.cost = cost;
        }
    }
}
