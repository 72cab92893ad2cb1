package io.siskintrail.internal.policy;

import io.siskintrail.internal.rules.Limits;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The settings of the policy, all with defaults that suit 10 accounts and 30 endpoints.
 *
 * @param urgentFloor share of the slots of a pool that urgent work keeps while it has any, 0 to 1
 * @param bulkFloor the same of bulk work
 * @param accounts the policy of an account; never returns null
 * @param promptTokenCost cost of reading a prompt token, in output tokens
 * @param maxQueued requests that wait on one router, of all accounts
 * @param maxSuspensions how often one generation may be suspended
 * @param minRunMillis how long a generation runs before it may be suspended
 * @param urgentHeadroom slots that bulk work leaves unused, times the square root of the running
 *     urgent requests
 * @param shareHeadroom slots that accounts far over their share leave unused, times the square root
 *     of the running requests of the others
 * @param burstCredit how far an account that used less than its share may be ahead of others, in
 *     output tokens
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

    /** Rules of a deployment that has set none. */
    public static final PolicyRules DEFAULT =
            new PolicyRules(
                    0.2, 0.1, a -> AccountPolicy.DEFAULT, 0.01, 10_000, 2, 500, 0.5, 1.5, 2_000);

    /** Checks the floors. */
    public PolicyRules {
        if (urgentFloor + bulkFloor > 1) {
            throw new IllegalArgumentException("the floors of both ranks are over 1 together");
        }
    }

    /** Returns what the rules in force say, with the defaults for all else. */
    public static PolicyRules of(Rules rules) {
        Map<AccountId, AccountPolicy> known = new HashMap<>();
        return DEFAULT.with(
                rules.floor(Rank.URGENT),
                rules.floor(Rank.BULK),
                a -> known.computeIfAbsent(a, id -> account(rules, id)));
    }

    private static AccountPolicy account(Rules rules, AccountId account) {
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

    /** Returns the rules of {@code account}. */
    public AccountPolicy of(AccountId account) {
        return accounts.apply(account);
    }

    /** Returns the share of the slots that {@code rank} keeps while it has work. */
    public double floor(Rank rank) {
        return rank == Rank.URGENT ? urgentFloor : bulkFloor;
    }

    /** Returns the same rules with other {@code accounts}, the default for any other. */
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
