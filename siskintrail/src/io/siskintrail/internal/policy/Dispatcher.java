package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides for one router which request runs next and where. Every submitted request ends in exactly
 * one way: it is refused, joined to an equal request, cancelled by its caller, or started and then
 * finished; a started generation may be suspended and restarted in between.
 */
public final class Dispatcher implements StateMachine<PolicyInput, PolicyEffect> {
    /** Interval of {@link PolicyInput.Tick}, in milliseconds. */
    public static final long TICK_MILLIS = 2;

    private static final int MAX_CACHED_BLOCKS = 200_000;
    private static final long PREFIX_TTL_MILLIS = 600_000;
    private static final long RECOVERY_ORDER_OFFSET = 1L << 40;
    private static final int MAX_LOCAL_GRANT_ROUNDS = 3;
    private static final int SEQUENCE_BITS_PER_INCARNATION = 20;

    private final EndpointTable endpoints;
    private final Map<Rank, VirtualCounters> counters = new EnumMap<>(Rank.class);
    private final LengthEstimator lengths = new LengthEstimator();
    private final WorkQueues queues = new WorkQueues(counters);
    private final PrefixIndex prefixes = new PrefixIndex(MAX_CACHED_BLOCKS, PREFIX_TTL_MILLIS);
    private final Map<Long, WorkItem> workByTicket = new HashMap<>();
    private final Map<AccountKey, Long> ticketByKey = new HashMap<>();
    private final Map<AccountId, AccountStats> statsByAccount = new TreeMap<>();
    private final Fairness fairness;
    private final Admission admission;
    private final UsageExchange usage;
    private final LeaseManager leases;
    private final Suspender suspender;
    private final Starter starter;
    private PolicyRules rules;
    private long nextOrder;
    private List<PolicyEffect> effects = new ArrayList<>();

    /**
     * Creates a dispatcher without endpoints and without other routers.
     *
     * @param self this router
     * @param incarnation grows with each restart of this router, such as its start time
     * @param rules the rules in force
     */
    public Dispatcher(HostId self, long incarnation, PolicyRules rules) {
        this.rules = rules;
        for (Rank rank : Rank.values()) {
            counters.put(
                    rank,
                    new VirtualCounters(
                            rank,
                            a -> this.rules.accountPolicy(a).weight(),
                            a -> queues.updateCounter(rank, a)));
        }
        endpoints = new EndpointTable(self);
        fairness = new Fairness(counters, lengths, rules);
        admission = new Admission(queues, counters, rules);
        usage = new UsageExchange(self, incarnation, counters, admission);
        leases =
                new LeaseManager(
                        self,
                        incarnation << SEQUENCE_BITS_PER_INCARNATION,
                        endpoints,
                        queues,
                        fairness);
        suspender = new Suspender(endpoints, fairness, this::suspend);
        starter =
                new Starter(
                        new Placement(endpoints, prefixes),
                        queues,
                        leases,
                        fairness,
                        suspender,
                        this::start);
        applyRules(rules);
    }

    @Override
    public List<PolicyEffect> step(long now, PolicyInput input) {
        effects = new ArrayList<>();
        apply(now, input);
        starter.startWaiting(now);
        for (int i = 0; i < MAX_LOCAL_GRANT_ROUNDS; i++) {
            if (!leases.sendDue(now, starter, effects)) {
                break;
            }
            starter.startWaiting(now);
        }
        usage.sendDue(now, effects);
        return effects;
    }

    /** Returns the counts of each account on this router, in order of account id. */
    public List<AccountReport> accountReports(long now) {
        List<AccountReport> reports = new ArrayList<>();
        statsByAccount.forEach((account, s) -> reports.add(report(now, account, s)));
        return reports;
    }

    /** Returns the number of queued requests. */
    public int waitingCount() {
        return queues.size();
    }

    /** Returns the number of requests that run or are being suspended. */
    public int runningCount() {
        return workByTicket.size() - queues.size();
    }

    private void apply(long now, PolicyInput input) {
        if (input instanceof PolicyInput.Submit s) {
            submit(now, s.request());
        } else if (input instanceof PolicyInput.Finished f) {
            finish(now, f);
        } else if (input instanceof PolicyInput.Progress p) {
            recordProgress(p);
        } else if (input instanceof PolicyInput.Suspended s) {
            requeueSuspended(now, s);
        } else if (input instanceof PolicyInput.Cancel c) {
            cancel(now, c.ticket());
        } else if (input instanceof PolicyInput.FromPeer m) {
            receive(now, m);
        } else if (input instanceof PolicyInput.Tick) {
            dropExpired(now);
        } else if (input instanceof PolicyInput.RulesChanged r) {
            applyRules(r.rules());
        } else if (input instanceof PolicyInput.Peers p) {
            usage.updateRouters(p.routers());
            leases.updateRouters(now, p.routers(), p.hasQuorum());
            leases.refresh(now);
        } else {
            applyEndpoint(now, input);
        }
    }

    private void applyEndpoint(long now, PolicyInput input) {
        if (input instanceof PolicyInput.EndpointUp up) {
            endpoints.update(now, up.info());
            leases.refresh(now);
        } else if (input instanceof PolicyInput.EndpointGone gone) {
            endpoints.remove(gone.endpoint());
            prefixes.removeEndpoint(gone.endpoint());
            leases.refresh(now);
        } else if (input instanceof PolicyInput.LoadReport r) {
            EndpointState e = endpoints.get(r.endpoint());
            if (e != null) {
                e.recordLoad(now, r.running(), r.waiting());
            }
        } else if (input instanceof PolicyInput.CacheEvent c) {
            if (endpoints.get(c.endpoint()) != null && prefixes.apply(now, c)) {
                effects.add(new PolicyEffect.RequestCacheSnapshot(c.endpoint()));
            }
        } else if (input instanceof PolicyInput.CacheSnapshot c) {
            if (endpoints.get(c.endpoint()) != null) {
                prefixes.apply(now, c);
            }
        }
    }

    private void receive(long now, PolicyInput.FromPeer m) {
        if (m.message() instanceof PolicyMessage.Usage u) {
            usage.receive(now, m.from(), u);
        } else if (m.message() instanceof PolicyMessage.Claim c) {
            leases.receive(now, m.from(), c);
        } else if (m.message() instanceof PolicyMessage.Grant g) {
            leases.receive(m.from(), g);
        }
    }

    private void applyRules(PolicyRules newRules) {
        rules = newRules;
        fairness.setRules(newRules);
        admission.setRules(newRules);
        suspender.setRules(newRules);
        counters.values().forEach(c -> c.setBurstCredit(newRules.burstCredit()));
    }

    private void submit(long now, WorkRequest request) {
        AccountStats s = stats(request.account());
        AccountKey key = AccountKey.of(request);
        Long leader = key == null ? null : ticketByKey.get(key);
        if (leader != null) {
            s.joined++;
            effects.add(new PolicyEffect.Join(request.ticket(), leader));
            return;
        }
        if (endpoints.serving(request.target()).isEmpty()) {
            String detail = "no endpoint serves %s".formatted(request.target());
            refuse(request, new Failure(ResultCode.NO_ENDPOINT, detail), 1_000);
            return;
        }
        double tokens = request.promptTokens() + lengths.outputTokens(request);
        Admission.Refusal refusal = admission.check(now, request, tokens);
        if (refusal == null && queues.size() >= rules.maxQueued() && !dropUnlikelyToStart(now)) {
            Failure full =
                    new Failure(
                            ResultCode.NOT_RUN_QUEUE_FULL,
                            "%d requests are queued on this router".formatted(queues.size()));
            refusal = new Admission.Refusal(full, admission.expectedWait(now, request));
        }
        if (refusal != null) {
            refuse(request, refusal.failure(), refusal.retryAfterMillis());
            return;
        }
        enqueueNew(now, request, key);
    }

    private void enqueueNew(long now, WorkRequest request, AccountKey key) {
        if (key != null) {
            ticketByKey.put(key, request.ticket());
        }
        long maxQueueMillis = rules.accountPolicy(request.account()).maxQueueMillis(request.rank());
        long order = nextOrder++ - (request.recovery() ? RECOVERY_ORDER_OFFSET : 0);
        long wait =
                request.recovery()
                        ? maxQueueMillis
                        : Math.min(request.maxWaitMillis(), maxQueueMillis);
        WorkItem work = new WorkItem(request, order, now, now + wait);
        workByTicket.put(request.ticket(), work);
        counters.get(request.rank()).countRequest(request.account());
        enqueue(work);
    }

    private void enqueue(WorkItem work) {
        WorkRequest r = work.request;
        int waitingBefore = queues.waiting(r.rank(), r.account());
        counters.get(r.rank())
                .update(r.account(), waitingBefore + 1, admission.running(r.rank(), r.account()));
        queues.add(work);
        leases.markChanged(r.target());
    }

    private void updateCounts(WorkRequest r) {
        counters.get(r.rank())
                .update(
                        r.account(),
                        queues.waiting(r.rank(), r.account()),
                        admission.running(r.rank(), r.account()));
        leases.markChanged(r.target());
    }

    /** Starts {@code work}, which the caller has just removed from its queue. */
    private void start(long now, WorkItem work, EndpointState e) {
        WorkRequest r = work.request;
        work.state = WorkItem.State.RUNNING;
        work.endpoint = e;
        work.startedAtMillis = now;
        e.changeRunning(r.rank(), 1);
        admission.recordStart(now, r);
        double expected = cost(r, Math.max(work.outputTokens, lengths.outputTokens(r)));
        charge(work, expected);
        prefixes.recordExpected(now, e.info.id(), r.prefixHashes());
        stats(r.account()).started++;
        updateCounts(r);
        effects.add(new PolicyEffect.Start(r.ticket(), e.info.id()));
    }

    private void suspend(WorkItem work) {
        work.state = WorkItem.State.SUSPENDING;
        stats(work.request.account()).suspended++;
        effects.add(new PolicyEffect.Suspend(work.request.ticket()));
    }

    private void recordProgress(PolicyInput.Progress p) {
        WorkItem work = workByTicket.get(p.ticket());
        if (work != null && work.state == WorkItem.State.RUNNING) {
            double costSoFar = cost(work.request, work.outputTokens + p.outputTokens());
            if (costSoFar > work.chargedCost) {
                charge(work, costSoFar);
            }
        }
    }

    private void requeueSuspended(long now, PolicyInput.Suspended s) {
        WorkItem work = workByTicket.get(s.ticket());
        if (work == null || work.state != WorkItem.State.SUSPENDING) {
            return;
        }
        releaseSlot(work);
        work.outputTokens += s.outputTokens();
        work.promptTokens += s.outputTokens();
        charge(work, cost(work.request, work.outputTokens));
        work.suspensions++;
        if (work.request.rank() == Rank.BULK) {
            leases.recordSuspension(work.endpoint);
        }
        work.state = WorkItem.State.WAITING;
        work.deadlineMillis =
                now
                        + rules.accountPolicy(work.request.account())
                                .maxQueueMillis(work.request.rank());
        enqueue(work);
    }

    private void finish(long now, PolicyInput.Finished f) {
        WorkItem work = workByTicket.get(f.ticket());
        if (work == null || work.state == WorkItem.State.WAITING) {
            return;
        }
        releaseSlot(work);
        workByTicket.remove(f.ticket());
        removeKey(work.request);
        int tokens = work.outputTokens + f.outputTokens();
        double cost = cost(work.request, tokens);
        charge(work, cost);
        double estimatedTokens = lengths.outputTokens(work.request);
        admission.correctTokens(now, work.request.account(), tokens - estimatedTokens);
        EndpointState e = work.endpoint;
        if (f.outcome() == Outcome.DONE) {
            lengths.recordFinished(work.request, tokens, cost);
            admission.recordSuccess(work.request);
            if (e != null) {
                e.health.recordSuccess(now);
            }
        } else if (f.outcome() == Outcome.ENDPOINT_FAILED) {
            e.health.recordFailure(now);
        }
        updateCounts(work.request);
    }

    private void cancel(long now, long ticket) {
        WorkItem work = workByTicket.get(ticket);
        if (work == null) {
            return;
        }
        if (work.state != WorkItem.State.WAITING) {
            finish(now, new PolicyInput.Finished(ticket, Outcome.CANCELLED, 0));
            return;
        }
        workByTicket.remove(ticket);
        queues.remove(work);
        removeKey(work.request);
        updateCounts(work.request);
    }

    private void releaseSlot(WorkItem work) {
        suspender.recordEnd(work);
        admission.recordEnd(work.request);
        work.endpoint.changeRunning(work.request.rank(), -1);
    }

    private void dropExpired(long now) {
        WorkItem work = queues.firstToExpire();
        while (work != null && work.deadlineMillis <= now) {
            drop(now, work);
            work = queues.firstToExpire();
        }
    }

    /**
     * Drops the request with the earliest deadline, if it is expected to start after that deadline
     * and was never suspended; returns whether it was dropped.
     */
    private boolean dropUnlikelyToStart(long now) {
        WorkItem work = queues.firstToExpire();
        if (work == null || work.suspensions > 0) {
            return false;
        }
        if (now + admission.expectedWait(now, work.request) <= work.deadlineMillis) {
            return false;
        }
        drop(now, work);
        return true;
    }

    private void drop(long now, WorkItem work) {
        workByTicket.remove(work.request.ticket());
        queues.remove(work);
        removeKey(work.request);
        boolean startedBefore = work.suspensions > 0 || work.request.recovery();
        ResultCode code =
                startedBefore ? ResultCode.SUSPENDED_TOO_LONG : ResultCode.NOT_RUN_DEADLINE;
        String detail = "waited %d ms for a start".formatted(now - work.arrivedAtMillis);
        refuse(work.request, new Failure(code, detail), 1_000);
        updateCounts(work.request);
    }

    private void refuse(WorkRequest request, Failure failure, long retryAfterMillis) {
        stats(request.account()).recordRefusal(failure.code());
        effects.add(new PolicyEffect.Refuse(request.ticket(), failure, retryAfterMillis));
    }

    private void charge(WorkItem work, double total) {
        double difference = total - work.chargedCost;
        work.chargedCost = total;
        stats(work.request.account()).servedCost += difference;
        counters.get(work.request.rank()).charge(work.request.account(), difference);
    }

    private double cost(WorkRequest r, double outputTokens) {
        double prompt = r.promptTokens() * rules.promptTokenCost();
        return LengthEstimator.REQUEST_COST + prompt + outputTokens;
    }

    private void removeKey(WorkRequest request) {
        AccountKey key = AccountKey.of(request);
        if (key != null) {
            ticketByKey.remove(key);
        }
    }

    private AccountStats stats(AccountId account) {
        return statsByAccount.computeIfAbsent(account, a -> new AccountStats());
    }

    private AccountReport report(long now, AccountId account, AccountStats s) {
        Map<Rank, Integer> waiting = new EnumMap<>(Rank.class);
        Map<Rank, Integer> running = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            waiting.put(rank, queues.waiting(rank, account));
            running.put(rank, admission.running(rank, account));
        }
        Optional<WorkItem> oldest =
                workByTicket.values().stream()
                        .filter(w -> w.state == WorkItem.State.WAITING)
                        .filter(w -> w.request.account().equals(account))
                        .min(Comparator.comparingLong(w -> w.arrivedAtMillis));
        return new AccountReport(
                account,
                waiting,
                running,
                s.started,
                s.joined,
                s.suspended,
                s.refused(),
                s.servedCost,
                oldest.map(w -> now - w.arrivedAtMillis).orElse(0L));
    }

    private record AccountKey(AccountId account, RequestKey key) {
        private static AccountKey of(WorkRequest r) {
            return r.key() == null || r.recovery() ? null : new AccountKey(r.account(), r.key());
        }
    }
}
