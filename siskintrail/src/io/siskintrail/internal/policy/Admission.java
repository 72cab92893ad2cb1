package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Decides whether a request may wait, by the limits of its account and by its deadline. */
final class Admission {
    private static final double RATE_TAU_MILLIS = 3_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long MIN_SAMPLE_MILLIS = 1_000;
    private static final double MAX_WAIT_MILLIS = 600_000;

    private final WorkQueues queues;
    private final Map<Rank, VirtualCounters> counters;
    private final RetryBudgets retries = new RetryBudgets();
    private final Map<AccountId, TokenBucket> requestRates = new HashMap<>();
    private final Map<AccountId, TokenBucket> tokenRates = new HashMap<>();
    private final Map<Rank, Map<AccountId, Integer>> running = new EnumMap<>(Rank.class);
    private final Map<Rank, Map<AccountId, RateMeter>> starts = new EnumMap<>(Rank.class);
    private final Map<Rank, RateMeter> rankStarts = new EnumMap<>(Rank.class);
    private PolicyRules rules;

    Admission(WorkQueues queues, Map<Rank, VirtualCounters> counters, PolicyRules rules) {
        this.queues = queues;
        this.counters = counters;
        this.rules = rules;
        for (Rank rank : Rank.values()) {
            running.put(rank, new HashMap<>());
            starts.put(rank, new HashMap<>());
            rankStarts.put(rank, new RateMeter(RATE_TAU_MILLIS));
        }
    }

    void rules(PolicyRules newRules) {
        rules = newRules;
        requestRates.forEach((a, b) -> b.setRate(rules.of(a).requestsPerSecond()));
        tokenRates.forEach((a, b) -> b.setRate(rules.of(a).tokensPerSecond()));
    }

    /** A refusal with the time after which a new try makes sense. */
    record Refusal(Failure failure, long retryAfterMillis) {}

    /** Returns why {@code request} cannot be taken, or null when it may wait. */
    Refusal check(long now, WorkRequest request, double expectedTokens) {
        if (request.recovery()) {
            return null;
        }
        boolean retry = retries.isRetry(now, request.fingerprint());
        Refusal limit = checkLimits(now, request);
        if (limit != null) {
            return limit;
        }
        Refusal wait = checkWait(now, request);
        if (wait != null) {
            return wait;
        }
        boolean crowded = queues.get(request.target(), request.rank()) != null;
        if (retry && crowded && !retries.take(request.account())) {
            return refusal(
                    ResultCode.NOT_RUN_RETRY_BUDGET,
                    MIN_RETRY_AFTER_MILLIS,
                    "client account %s has no retries left".formatted(request.account()));
        }
        requests(now, request.account()).take(now, 1);
        tokens(now, request.account()).take(now, expectedTokens);
        return null;
    }

    /** Notes the start of a request. */
    void started(long now, WorkRequest request) {
        meter(request.rank(), request.account()).add(now, 1);
        rankStarts.get(request.rank()).add(now, 1);
        running.get(request.rank()).merge(request.account(), 1, Integer::sum);
    }

    /** Notes that a started request runs no more. */
    void ended(WorkRequest request) {
        running.get(request.rank()).compute(request.account(), (a, n) -> n == 1 ? null : n - 1);
    }

    /** Returns the running requests of {@code account} in {@code rank}. */
    int running(Rank rank, AccountId account) {
        return running.get(rank).getOrDefault(account, 0);
    }

    void succeeded(WorkRequest request) {
        retries.succeeded(
                request.account(), request.fingerprint(), rules.of(request.account()).retryShare());
    }

    /** Corrects the tokens of an admitted request when their number is known. */
    void correctTokens(long now, AccountId account, double difference) {
        tokens(now, account).take(now, difference);
    }

    /** Takes what other routers admitted from the limits of {@code account}. */
    void chargeRemote(long now, AccountId account, double requests, double tokens) {
        if (requests > 0) {
            requests(now, account).take(now, requests);
        }
        tokens(now, account).take(now, tokens);
    }

    /** Returns the expected wait of one more request of the account, 0 when none waits. */
    long expectedWait(long now, WorkRequest request) {
        int ahead = queues.waiting(request.rank(), request.account());
        if (ahead == 0 || now - queues.waitingSince(request) < MIN_SAMPLE_MILLIS) {
            return 0;
        }
        double own = meter(request.rank(), request.account()).perSecond(now);
        int accounts = Math.max(1, queues.waitingAccounts(request.rank()));
        double share = rankStarts.get(request.rank()).perSecond(now) / accounts;
        double rate = Math.max(own, share);
        return (long) Math.min(MAX_WAIT_MILLIS, ahead / rate * 1000);
    }

    private Refusal checkLimits(long now, WorkRequest request) {
        AccountId account = request.account();
        AccountPolicy limits = rules.of(account);
        long wait = requests(now, account).millisUntilAllowed(now);
        if (wait > 0) {
            return refusal(
                    ResultCode.NOT_RUN_REQUEST_RATE,
                    wait,
                    "client account %s is over %.1f requests a second"
                            .formatted(account, limits.requestsPerSecond()));
        }
        wait = tokens(now, account).millisUntilAllowed(now);
        if (wait > 0) {
            return refusal(
                    ResultCode.NOT_RUN_TOKEN_RATE,
                    wait,
                    "client account %s is over %.1f tokens a second"
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

    private Refusal checkWait(long now, WorkRequest request) {
        long most =
                Math.min(
                        request.maxWaitMillis(),
                        rules.of(request.account()).queueMillis(request.rank()));
        long wait = expectedWait(now, request);
        if (wait > most) {
            return refusal(
                    ResultCode.NOT_RUN_DELAY,
                    wait - most,
                    "the start would take %d ms, at most %d ms are allowed".formatted(wait, most));
        }
        int queued = queues.waiting(request.rank(), request.account());
        if (queued >= rules.of(request.account()).maxQueued()) {
            return refusal(
                    ResultCode.NOT_RUN_QUEUE_FULL,
                    wait,
                    "%d requests of client account %s wait".formatted(queued, request.account()));
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

    private TokenBucket requests(long now, AccountId account) {
        return requestRates.computeIfAbsent(
                account, a -> new TokenBucket(rules.of(a).requestsPerSecond(), now));
    }

    private TokenBucket tokens(long now, AccountId account) {
        return tokenRates.computeIfAbsent(
                account, a -> new TokenBucket(rules.of(a).tokensPerSecond(), now));
    }

    private RateMeter meter(Rank rank, AccountId account) {
        return starts.get(rank).computeIfAbsent(account, a -> new RateMeter(RATE_TAU_MILLIS));
    }

    private static Refusal refusal(ResultCode code, long retryAfter, String detail) {
        return new Refusal(new Failure(code, detail), Math.max(MIN_RETRY_AFTER_MILLIS, retryAfter));
    }
}
