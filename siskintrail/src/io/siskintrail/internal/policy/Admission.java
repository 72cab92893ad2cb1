package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Decides whether to queue a request, by the limits of its account and by its deadline. */
final class Admission {
    private static final double RATE_TIME_CONSTANT_MILLIS = 3_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long MIN_BACKLOG_SAMPLE_MILLIS = 1_000;
    private static final double MAX_EXPECTED_WAIT_MILLIS = 600_000;

    private final WorkQueues queues;
    private final Map<Rank, VirtualCounters> counters;
    private final RetryBudgets retryBudgets = new RetryBudgets();
    private final Map<AccountId, TokenBucket> requestBuckets = new HashMap<>();
    private final Map<AccountId, TokenBucket> tokenBuckets = new HashMap<>();
    private final Map<Rank, Map<AccountId, Integer>> running = new EnumMap<>(Rank.class);
    private final Map<Rank, Map<AccountId, RateMeter>> startMeters = new EnumMap<>(Rank.class);
    private final Map<Rank, RateMeter> rankStartMeters = new EnumMap<>(Rank.class);
    private PolicyRules rules;

    Admission(WorkQueues queues, Map<Rank, VirtualCounters> counters, PolicyRules rules) {
        this.queues = queues;
        this.counters = counters;
        this.rules = rules;
        for (Rank rank : Rank.values()) {
            running.put(rank, new HashMap<>());
            startMeters.put(rank, new HashMap<>());
            rankStartMeters.put(rank, new RateMeter(RATE_TIME_CONSTANT_MILLIS));
        }
    }

    void setRules(PolicyRules newRules) {
        rules = newRules;
        requestBuckets.forEach((a, b) -> b.setRate(rules.accountPolicy(a).requestsPerSecond()));
        tokenBuckets.forEach((a, b) -> b.setRate(rules.accountPolicy(a).tokensPerSecond()));
    }

    /** A refusal with the time in milliseconds after which the caller should retry. */
    record Refusal(Failure failure, long retryAfterMillis) {}

    /** Returns why {@code request} is refused, or null when it is admitted to the queue. */
    Refusal check(long now, WorkRequest request, double expectedTokens) {
        if (request.recovery()) {
            return null;
        }
        boolean retry = retryBudgets.recordRequest(now, request.fingerprint());
        Refusal limit = checkRateAndInFlight(now, request);
        if (limit != null) {
            return limit;
        }
        Refusal wait = checkQueueDelay(now, request);
        if (wait != null) {
            return wait;
        }
        boolean queueNonEmpty = queues.get(request.target(), request.rank()) != null;
        if (retry && queueNonEmpty && !retryBudgets.take(request.account())) {
            return refusal(
                    ResultCode.NOT_RUN_RETRY_BUDGET,
                    MIN_RETRY_AFTER_MILLIS,
                    "client account %s has no retries left".formatted(request.account()));
        }
        requestBucket(now, request.account()).take(now, 1);
        tokenBucket(now, request.account()).take(now, expectedTokens);
        return null;
    }

    /** Records the start of a request. */
    void recordStart(long now, WorkRequest request) {
        startMeter(request.rank(), request.account()).add(now, 1);
        rankStartMeters.get(request.rank()).add(now, 1);
        running.get(request.rank()).merge(request.account(), 1, Integer::sum);
    }

    /** Records that a started request no longer runs. */
    void recordEnd(WorkRequest request) {
        running.get(request.rank()).compute(request.account(), (a, n) -> n == 1 ? null : n - 1);
    }

    /** Returns the number of running requests of {@code account} in {@code rank}. */
    int running(Rank rank, AccountId account) {
        return running.get(rank).getOrDefault(account, 0);
    }

    void recordSuccess(WorkRequest request) {
        retryBudgets.recordSuccess(
                request.account(),
                request.fingerprint(),
                rules.accountPolicy(request.account()).retryShare());
    }

    /** Charges the difference between the actual and the estimated tokens of a request. */
    void correctTokens(long now, AccountId account, double difference) {
        tokenBucket(now, account).take(now, difference);
    }

    /** Charges requests and tokens that other routers admitted to {@code account}. */
    void chargeRemote(long now, AccountId account, double requests, double tokens) {
        if (requests > 0) {
            requestBucket(now, account).take(now, requests);
        }
        tokenBucket(now, account).take(now, tokens);
    }

    /**
     * Returns the expected queueing delay of one more request of the account, in milliseconds; 0
     * when none waits or the backlog is too young to measure.
     */
    long expectedWait(long now, WorkRequest request) {
        int waitingAhead = queues.waiting(request.rank(), request.account());
        if (waitingAhead == 0 || now - queues.waitingSince(request) < MIN_BACKLOG_SAMPLE_MILLIS) {
            return 0;
        }
        double accountRate = startMeter(request.rank(), request.account()).perSecond(now);
        int accounts = Math.max(1, queues.waitingAccounts(request.rank()));
        double equalShareRate = rankStartMeters.get(request.rank()).perSecond(now) / accounts;
        double rate = Math.max(accountRate, equalShareRate);
        return (long) Math.min(MAX_EXPECTED_WAIT_MILLIS, waitingAhead / rate * 1000);
    }

    private Refusal checkRateAndInFlight(long now, WorkRequest request) {
        AccountId account = request.account();
        AccountPolicy limits = rules.accountPolicy(account);
        long wait = requestBucket(now, account).millisUntilAllowed(now);
        if (wait > 0) {
            return refusal(
                    ResultCode.NOT_RUN_REQUEST_RATE,
                    wait,
                    "client account %s exceeds its limit of %.1f requests per second"
                            .formatted(account, limits.requestsPerSecond()));
        }
        wait = tokenBucket(now, account).millisUntilAllowed(now);
        if (wait > 0) {
            return refusal(
                    ResultCode.NOT_RUN_TOKEN_RATE,
                    wait,
                    "client account %s exceeds its limit of %.1f tokens per second"
                            .formatted(account, limits.tokensPerSecond()));
        }
        int inFlight = inFlight(account);
        if (inFlight >= limits.maxInFlight()) {
            return refusal(
                    ResultCode.NOT_RUN_IN_FLIGHT,
                    MIN_RETRY_AFTER_MILLIS,
                    "client account %s has %d requests in flight".formatted(account, inFlight));
        }
        return null;
    }

    private Refusal checkQueueDelay(long now, WorkRequest request) {
        long maxWaitMillis =
                Math.min(
                        request.maxWaitMillis(),
                        rules.accountPolicy(request.account()).maxQueueMillis(request.rank()));
        long wait = expectedWait(now, request);
        if (wait > maxWaitMillis) {
            return refusal(
                    ResultCode.NOT_RUN_DELAY,
                    wait - maxWaitMillis,
                    "expected queueing delay is %d ms, limit is %d ms"
                            .formatted(wait, maxWaitMillis));
        }
        int queued = queues.waiting(request.rank(), request.account());
        if (queued >= rules.accountPolicy(request.account()).maxQueued()) {
            return refusal(
                    ResultCode.NOT_RUN_QUEUE_FULL,
                    wait,
                    "%d requests of client account %s are queued"
                            .formatted(queued, request.account()));
        }
        return null;
    }

    private int inFlight(AccountId account) {
        int n = 0;
        for (Rank rank : Rank.values()) {
            n += running(rank, account);
            n += queues.waiting(rank, account) + counters.get(rank).remoteInFlight(account);
        }
        return n;
    }

    private TokenBucket requestBucket(long now, AccountId account) {
        return requestBuckets.computeIfAbsent(
                account, a -> new TokenBucket(rules.accountPolicy(a).requestsPerSecond(), now));
    }

    private TokenBucket tokenBucket(long now, AccountId account) {
        return tokenBuckets.computeIfAbsent(
                account, a -> new TokenBucket(rules.accountPolicy(a).tokensPerSecond(), now));
    }

    private RateMeter startMeter(Rank rank, AccountId account) {
        return startMeters
                .get(rank)
                .computeIfAbsent(account, a -> new RateMeter(RATE_TIME_CONSTANT_MILLIS));
    }

    private static Refusal refusal(ResultCode code, long retryAfterMillis, String detail) {
        return new Refusal(
                new Failure(code, detail), Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
    }
}
