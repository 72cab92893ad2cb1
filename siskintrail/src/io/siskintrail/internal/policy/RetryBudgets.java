package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Lets an account retry a share of its successes, so that callers who send again and again cost
 * others nothing. A request is a retry when one with the same fingerprint came within the window
 * and did not succeed since. Remembers at most {@link #MAX_FINGERPRINTS} fingerprints.
 */
final class RetryBudgets {
    static final int MAX_FINGERPRINTS = 65_536;
    private static final long WINDOW_MILLIS = 60_000;
    private static final double START = 10;
    private static final double MAX = 100;

    private final Map<AccountId, Double> balances = new HashMap<>();
    private final LinkedHashMap<Long, Long> seen = new LinkedHashMap<>();

    /** Notes a request; returns whether it is a retry. */
    boolean isRetry(long now, long fingerprint) {
        if (fingerprint == 0) {
            return false;
        }
        Long before = seen.remove(fingerprint);
        seen.put(fingerprint, now);
        if (seen.size() > MAX_FINGERPRINTS) {
            seen.remove(seen.keySet().iterator().next());
        }
        return before != null && now - before <= WINDOW_MILLIS;
    }

    /** Takes one retry from the budget of {@code account}; returns whether there was one. */
    boolean take(AccountId account) {
        double balance = balances.getOrDefault(account, START);
        if (balance < 1) {
            return false;
        }
        balances.put(account, balance - 1);
        return true;
    }

    /** Notes a success: an equal request is no retry any more. */
    void succeeded(AccountId account, long fingerprint, double ratio) {
        double balance = balances.getOrDefault(account, START);
        balances.put(account, Math.min(MAX, balance + ratio));
        if (fingerprint != 0) {
            seen.remove(fingerprint);
        }
    }
}
