package io.siskintrail.bench.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;

/**
 * Arrivals of one account with exponential gaps; lengths are uniform between half and one and a
 * half of the mean.
 *
 * @param account the client account
 * @param rank the rank
 * @param perSecond requests a second
 * @param promptTokens mean prompt
 * @param outputTokens mean output
 * @param from when the first may arrive
 * @param to when the last may arrive
 * @param routers how many of the routers it talks to
 */
record Source(
        String account,
        Rank rank,
        double perSecond,
        int promptTokens,
        int outputTokens,
        long from,
        long to,
        int routers) {

    /** Returns the mean time for which a request holds a slot, in milliseconds. */
    double slotMillis() {
        return promptTokens / Engine.PREFILL_TOKENS_PER_MILLI
                + outputTokens * Engine.MILLIS_PER_TOKEN;
    }

    /** Returns the same arrivals at a rate that asks for {@code slots} slots on average. */
    Source asking(double slots) {
        double rate = slots * 1000 / slotMillis();
        return new Source(account, rank, rate, promptTokens, outputTokens, from, to, routers);
    }

    AccountId accountId() {
        return new AccountId(account);
    }
}
