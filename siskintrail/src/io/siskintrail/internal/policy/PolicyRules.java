package io.siskintrail.internal.policy;

import io.siskintrail.internal.rules.Limits;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Settings of the scheduling policy. The defaults suit 10 accounts and 30 endpoints.
 *
 * @param urgentFloor share of the slots of a pool reserved for urgent work while any is running or
 *     waiting, 0 to 1
 * @param bulkFloor share of the slots of a pool reserved for bulk work while any is running or
 *     waiting, 0 to 1
 * @param accounts returns the policy of an account, never null
 * @param promptTokenCost cost of one prompt token, in output tokens
 * @param maxQueued maximum number of queued requests of all accounts on one router
 * @param maxSuspensions maximum number of suspensions of one generation
 * @param minRunMillis minimum time that a generation runs before it may be suspended, in
 *     milliseconds
 * @param urgentHeadroom number of slots that bulk work leaves unused, as a multiple of the square
 *     root of the number of running urgent requests
 * @param shareHeadroom number of slots that accounts far over their share leave unused, as a
 *     multiple of the square root of the number of running requests of the remaining accounts
 * @param burstCredit how far the virtual counter of an account that used less than its share may be
 *     below the counters of other accounts, in output tokens
 */
public record PolicyRules(
        double urgentFloor,
        double bulkFloor,
        Function<AccountId, AccountPolicy> accounts,
        double promptTokenCost,
        int maxQueued,
        int maxSuspensions,
        long minRunMillis,
        double urgentHeadroom,
        double shareHeadroom,
        double burstCredit) {

    /** Rules of a deployment that sets none. */
    public static final PolicyRules DEFAULT =
            new PolicyRules(
                    0.2, 0.1, a -> AccountPolicy.DEFAULT, 0.01, 10_000, 2, 500, 0.5, 1.5, 2_000);

    /**
     * Checks the floors.
     *
     * @throws IllegalArgumentException if the floors add up to more than 1
     */
    public PolicyRules {
        if (urgentFloor + bulkFloor > 1) {
            throw new IllegalArgumentException("urgentFloor + bulkFloor must be at most 1");
        }
    }

    /** Returns the settings that {@code rules} contain; the others have their defaults. */
    public static PolicyRules fromRules(Rules rules) {
        Map<AccountId, AccountPolicy> policyByAccount = new HashMap<>();
        return DEFAULT.with(
                rules.floor(Rank.URGENT),
                rules.floor(Rank.BULK),
                a -> policyByAccount.computeIfAbsent(a, id -> toAccountPolicy(rules, id)));
    }

    private static AccountPolicy toAccountPolicy(Rules rules, AccountId account) {
        Limits limits = rules.limits(account);
        return new AccountPolicy(
                rules.weight(account),
                limits.requestsPerSecond(),
                limits.tokensPerSecond(),
                limits.inFlight(),
                AccountPolicy.DEFAULT.maxQueued(),
                rules.retryShare(account),
                rules.queueMillis(account, Rank.URGENT),
                rules.queueMillis(account, Rank.BULK));
    }

    /** Returns the policy of {@code account}, never null. */
    public AccountPolicy accountPolicy(AccountId account) {
        return accounts.apply(account);
    }

    /** Returns the share of the slots reserved for {@code rank} while it has work, 0 to 1. */
    public double floor(Rank rank) {
        return rank == Rank.URGENT ? urgentFloor : bulkFloor;
    }

    /** Returns a copy with the given policies; accounts without one get the default policy. */
    public PolicyRules withAccounts(Map<AccountId, AccountPolicy> policyByAccount) {
        Map<AccountId, AccountPolicy> policies = Map.copyOf(policyByAccount);
        return with(urgentFloor, bulkFloor, a -> policies.getOrDefault(a, AccountPolicy.DEFAULT));
    }

    private PolicyRules with(
            double newUrgentFloor,
            double newBulkFloor,
            Function<AccountId, AccountPolicy> newPolicies) {
        return new PolicyRules(
                newUrgentFloor,
                newBulkFloor,
                newPolicies,
                promptTokenCost,
                maxQueued,
                maxSuspensions,
                minRunMillis,
                urgentHeadroom,
                shareHeadroom,
                burstCredit);
    }
}
