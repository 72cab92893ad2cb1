package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.util.Map;

/**
 * How one account fares on one router.
 *
 * @param account the client account
 * @param waiting requests that wait, by rank
 * @param running requests that run, by rank
 * @param started starts since the router started
 * @param joined requests that joined an equal one
 * @param suspended suspensions
 * @param refused refusals by code
 * @param served cost served, in output tokens
 * @param oldestWaitMillis how long the longest-waiting request has waited, 0 when none waits
 */
public record AccountReport(
        AccountId account,
        Map<Rank, Integer> waiting,
        Map<Rank, Integer> running,
        long started,
        long joined,
        long suspended,
        Map<ResultCode, Long> refused,
        double served,
        long oldestWaitMillis) {}
