package io.siskintrail.internal.traffic.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets client accounts take turns: counts the starts of each account in virtual time (start-time
 * fair queueing), so that an account with many waiting requests starts no more often than one with
 * few. An account without requests saves up no turns. Not thread-safe.
 */
final class AccountTurns {
    /** Number of accounts from which those without a claim of their own are dropped. */
    private static final int MAX_ACCOUNTS = 1_024;

    private final Map<Integer, Long> nextTurns = new HashMap<>();
    private long currentTurn;

    /** Returns the turn of the next request of an account; a lower one goes first. */
    long nextTurn(int account) {
        return Math.max(currentTurn, nextTurns.getOrDefault(account, 0L));
    }

    /** Records that a request of the account started. */
    void recordStart(int account) {
        long turn = nextTurn(account);
        currentTurn = turn;
        nextTurns.put(account, turn + 1);
        if (nextTurns.size() > MAX_ACCOUNTS) {
            nextTurns.values().removeIf(next -> next <= currentTurn);
        }
    }
}
