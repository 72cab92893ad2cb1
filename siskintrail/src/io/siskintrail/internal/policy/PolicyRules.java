package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.Map;

/**
 * The settings of the policy, all with defaults that suit 10 accounts and 30 endpoints.
 *
 * @param urgent how urgent work is served
 * @param bulk how bulk work is served
 * @param accounts the accounts with rules of their own
 * @param otherAccounts limits of all others
 * @param promptTokenCost cost of reading a prompt token, in output tokens
 * @param maxQueued requests that wait on one router, of all accounts
 * @param retryRatio retries that an account earns with each success
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
        RankPolicy urgent,
        RankPolicy bulk,
        Map<AccountId, AccountPolicy> accounts,
        AccountPolicy otherAccounts,
        double promptTokenCost,
        int maxQueued,
        double retryRatio,
        int maxSuspensions,
        long minRunMillis,
        double urgentHeadroom,
        double shareHeadroom,
        double burstCredit) {

    /** Rules of a deployment that has set none. */
    public static final PolicyRules DEFAULT =
            new PolicyRules(
                    new RankPolicy(0.5, 2_500),
                    new RankPolicy(0.1, 60_000),
                    Map.of(),
                    AccountPolicy.DEFAULT,
                    0.01,
                    10_000,
                    0.1,
                    2,
                    500,
                    0.5,
                    1.5,
                    2_000);

    /** Copies the map and checks the floors. */
    public PolicyRules {
        accounts = Map.copyOf(accounts);
        if (urgent.floor() + bulk.floor() > 1) {
            throw new IllegalArgumentException("the floors of both ranks are over 1 together");
        }
    }

    /** Returns the rules of {@code account}. */
    public AccountPolicy of(AccountId account) {
        return accounts.getOrDefault(account, otherAccounts);
    }

    /** Returns the rules of {@code rank}. */
    public RankPolicy of(Rank rank) {
        return rank == Rank.URGENT ? urgent : bulk;
    }

    /** Returns the same rules with other {@code accounts}. */
    public PolicyRules withAccounts(Map<AccountId, AccountPolicy> newAccounts) {
        return new PolicyRules(
                urgent,
                bulk,
                newAccounts,
                otherAccounts,
                promptTokenCost,
                maxQueued,
                retryRatio,
                maxSuspensions,
                minRunMillis,
                urgentHeadroom,
                shareHeadroom,
                burstCredit);
    }
}
