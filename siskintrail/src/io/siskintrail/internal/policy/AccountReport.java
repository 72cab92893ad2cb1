package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.util.Map;

/**
 * Counts of one client account on one router.
 *
 * @param account the client account
 * @param waiting queued requests, by rank
 * @param running running requests, by rank
 * @param started request starts since the router started
 * @param joined requests that joined one with the same idempotency key
 * @param suspended suspensions of running generations
 * @param refused refused requests, by result code
 * @param servedCost cost charged, in output tokens
 * @param oldestWaitMillis time in the queue of the request queued longest, 0 when none is
 */
public record AccountReport(
        AccountId account,
        Map<Rank, Integer> waiting,
        Map<Rank, Integer> running,
        long started,
        long joined,
        long suspended,
        Map<ResultCode, Long> refused,
        double servedCost,
        long oldestWaitMillis) {}
