package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.HashMap;
import java.util.Map;

/** Estimates the output tokens of a request by exponential moving averages per account and rank. */
final class LengthEstimator {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double DEFAULT_OUTPUT_TOKENS = 128;

    /** Fixed cost of a request in addition to its tokens, in output tokens. */
    static final double REQUEST_COST = 1;

    private final Map<AccountRank, Mean> means = new HashMap<>();

    /** Returns the expected number of output tokens of {@code request}. */
    double outputTokens(WorkRequest request) {
        if (request.maxOutputTokens() == 0) {
            return 0;
        }
        Mean m = means.get(new AccountRank(request.rank(), request.account()));
        double estimate = m == null ? DEFAULT_OUTPUT_TOKENS : m.outputTokens;
        return Math.min(request.maxOutputTokens(), estimate);
    }

    /** Returns the mean cost of a request, in output tokens. */
    double meanCost(Rank rank, AccountId account) {
        Mean m = means.get(new AccountRank(rank, account));
        return m == null ? DEFAULT_OUTPUT_TOKENS : m.cost;
    }

    /** Updates the averages with a finished request; {@code cost} is in output tokens. */
    void recordFinished(WorkRequest request, int outputTokens, double cost) {
        Mean m =
                means.computeIfAbsent(
                        new AccountRank(request.rank(), request.account()),
                        k -> new Mean(outputTokens, cost));
        m.outputTokens += SMOOTHING_FACTOR * (outputTokens - m.outputTokens);
        m.cost += SMOOTHING_FACTOR * (cost - m.cost);
    }

    private record AccountRank(Rank rank, AccountId account) {}

    private static final class Mean {
        private double outputTokens;
        private double cost;

        private Mean(double outputTokens, double cost) {
            this.outputTokens = outputTokens;
            this.cost = cost;
        }
    }
}
