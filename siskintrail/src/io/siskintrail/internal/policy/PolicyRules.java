package io.siskintrail.internal.policy;

import io.siskintrail.internal.rules.Limits;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The settings of the policy. The defaults suit 10 accounts and 30 endpoints.
 *
 * @param urgentFloor share of the slots of a pool reserved for urgent work while there is any, 0 to
 *     1
 * @param bulkFloor the same for bulk work
 * @param accounts returns the policy of an account, never null
 * @param promptTokenCost cost of one prompt token, in output tokens
 * @param maxQueued most queued requests of all accounts on one router
 * @param maxSuspensions most suspensions of one generation
 * @param minRunMillis shortest run of a generation before it may be suspended
 * @param urgentHeadroom number of slots that bulk work leaves unused, as a multiple of the square
 *     root of the running urgent requests
 * @param shareHeadroom number of slots that accounts far over their share leave unused, as a
 *     multiple of the square root of the running requests of the others
 * @param burstCredit how far the counter of an account that used less than its share may be below
 *     those of others, in output tokens
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

    /** Rules of a deployment without rules of its own. */
    public static final PolicyRules DEFAULT =
            new PolicyRules(
                    0.2, 0.1, a -> AccountPolicy.DEFAULT, 0.01, 10_000, 2, 500, 0.5, 1.5, 2_000);

    /** Checks that the floors add up to at most 1. */
    public PolicyRules {
        if (urgentFloor + bulkFloor > 1) {
            throw new IllegalArgumentException("urgentFloor + bulkFloor must be at most 1");
        }
    }

    /** Returns the policy rules of the rules in force, with defaults for other settings. */
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

    /** Returns the same rules with policies by account; other accounts get the default policy. */
    public PolicyRules withAccounts(Map<AccountId, AccountPolicy> newAccounts) {
        Map<AccountId, AccountPolicy> copy = Map.copyOf(newAccounts);
        return with(urgentFloor, bulkFloor, a -> copy.getOrDefault(a, AccountPolicy.DEFAULT));
    }

    private PolicyRules with(
            double urgent, double bulk, Function<AccountId, AccountPolicy> newAccounts) {
        return new PolicyRules(
                urgent,
                bulk,
                newAccounts,
                promptTokenCost,
                maxQueued,
                maxSuspensions,
                minRunMillis,
                urgentHeadroom,
                shareHeadroom,
                burstCredit);
    }
}
