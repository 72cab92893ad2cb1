package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the retries of an account to a share of its successes, so that callers who retry
 * repeatedly take no capacity from others. A request is a retry when one with the same fingerprint
 * arrived within the window and none has succeeded since. Remembers at most {@link
 * #MAX_FINGERPRINTS} fingerprints.
 */
final class RetryBudgets {
    static final int MAX_FINGERPRINTS = 65_536;
    private static final long RETRY_WINDOW_MILLIS = 60_000;
    private static final double INITIAL_RETRIES = 10;
    private static final double MAX_RETRIES = 100;

    private final Map<AccountId, Double> balances = new HashMap<>();
    private final LinkedHashMap<Long, Long> lastSeenMillis = new LinkedHashMap<>();

    /** Records a request; returns whether it is a retry. A fingerprint of 0 never is. */
    boolean recordRequest(long now, long fingerprint) {
        if (fingerprint == 0) {
            return false;
        }
        Long seenBeforeMillis = lastSeenMillis.remove(fingerprint);
        lastSeenMillis.put(fingerprint, now);
        if (lastSeenMillis.size() > MAX_FINGERPRINTS) {
            lastSeenMillis.remove(lastSeenMillis.keySet().iterator().next());
        }
        return seenBeforeMillis != null && now - seenBeforeMillis <= RETRY_WINDOW_MILLIS;
    }

    /** Takes one retry from the budget of {@code account}; returns false when none is left. */
    boolean take(AccountId account) {
        double balance = balances.getOrDefault(account, INITIAL_RETRIES);
        if (balance < 1) {
            return false;
        }
        balances.put(account, balance - 1);
        return true;
    }

    /** Records a success, which adds to the budget; an equal request is no longer a retry. */
    void recordSuccess(AccountId account, long fingerprint, double retryShare) {
        double balance = balances.getOrDefault(account, INITIAL_RETRIES);
        balances.put(account, Math.min(MAX_RETRIES, balance + retryShare));
        if (fingerprint != 0) {
            lastSeenMillis.remove(fingerprint);
        }
    }
}
