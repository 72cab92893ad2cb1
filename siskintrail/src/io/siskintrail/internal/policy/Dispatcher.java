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
 * Decides for one router which request runs next and where. Every submitted request has exactly one
 * fate: it is refused, joined to an equal one, cancelled by its caller, or started and then
 * finished; a started bulk generation may be suspended and started again in between.
 */
public final class Dispatcher implements StateMachine<PolicyInput, PolicyEffect> {
    /** How often {@link PolicyInput.Tick} is to be given, in milliseconds. */
    public static final long TICK_MILLIS = 2;

    private static final int MAX_PREFIX_PAIRS = 200_000;
    private static final long PREFIX_TTL_MILLIS = 600_000;
    private static final long RECOVERY_ORDER_BONUS = 1L << 40;
    private static final int MAX_LOCAL_ROUNDS = 3;
    private static final int SEQUENCE_BITS = 20;

    private final EndpointTable endpoints;
    private final Map<Rank, VirtualCounters> counters = new EnumMap<>(Rank.class);
    private final LengthEstimator lengths = new LengthEstimator();
    private final WorkQueues queues = new WorkQueues(counters);
    private final PrefixIndex prefixes = new PrefixIndex(MAX_PREFIX_PAIRS, PREFIX_TTL_MILLIS);
    private final Map<Long, Work> works = new HashMap<>();
    private final Map<AccountKey, Long> keys = new HashMap<>();
    private final Map<AccountId, AccountStats> stats = new TreeMap<>();
    private final Fairness fairness;
    private final Admission admission;
    private final UsageExchange usage;
    private final LeaseManager leases;
    private final Suspender suspender;
    private final Starter starter;
    private PolicyRules rules;
    private long orders;
    private List<PolicyEffect> out = new ArrayList<>();

    /**
     * Makes a dispatcher that knows no endpoint and no other router.
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
                            rank, a -> this.rules.of(a).weight(), a -> queues.rekey(rank, a)));
        }
        endpoints = new EndpointTable(self);
        fairness = new Fairness(counters, lengths, rules);
        admission = new Admission(queues, counters, rules);
        usage = new UsageExchange(self, incarnation, counters, admission);
        leases = new LeaseManager(self, incarnation << SEQUENCE_BITS, endpoints, queues, fairness);
        suspender = new Suspender(endpoints, fairness, this::suspend);
        starter =
                new Starter(
                        new Placement(endpoints, prefixes),
                        queues,
                        leases,
                        fairness,
                        suspender,
                        this::start);
        rulesChanged(rules);
    }

    @Override
    public List<PolicyEffect> step(long now, PolicyInput input) {
        out = new ArrayList<>();
        apply(now, input);
        starter.pump(now);
        for (int i = 0; i < MAX_LOCAL_ROUNDS; i++) {
            if (!leases.flush(now, starter, out)) {
                break;
            }
            starter.pump(now);
        }
        usage.flush(now, out);
        return out;
    }

    /** Returns how each account fares here, in order of their ids. */
    public List<AccountReport> accounts(long now) {
        List<AccountReport> reports = new ArrayList<>();
        stats.forEach((account, s) -> reports.add(report(now, account, s)));
        return reports;
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return queues.size();
    }

    /** Returns how many requests run or are being suspended. */
    public int running() {
        return works.size() - queues.size();
    }

    private void apply(long now, PolicyInput input) {
        if (input instanceof PolicyInput.Submit s) {
            submit(now, s.request());
        } else if (input instanceof PolicyInput.Finished f) {
            finished(now, f);
        } else if (input instanceof PolicyInput.Progress p) {
            progress(p);
        } else if (input instanceof PolicyInput.Suspended s) {
            suspended(now, s);
        } else if (input instanceof PolicyInput.Cancel c) {
            cancel(now, c.ticket());
        } else if (input instanceof PolicyInput.FromPeer m) {
            receive(now, m);
        } else if (input instanceof PolicyInput.Tick) {
            expire(now);
        } else if (input instanceof PolicyInput.RulesChanged r) {
            rulesChanged(r.rules());
        } else if (input instanceof PolicyInput.Peers p) {
            usage.peers(p.routers());
            leases.peers(now, p.routers(), p.quorate());
            leases.refresh(now);
        } else {
            applyEndpoint(now, input);
        }
    }

    private void applyEndpoint(long now, PolicyInput input) {
        if (input instanceof PolicyInput.EndpointUp up) {
            endpoints.up(now, up.info());
            leases.refresh(now);
        } else if (input instanceof PolicyInput.EndpointGone gone) {
            endpoints.gone(gone.endpoint());
            prefixes.forget(gone.endpoint());
            leases.refresh(now);
        } else if (input instanceof PolicyInput.LoadReport r) {
            EndpointState e = endpoints.get(r.endpoint());
            if (e != null) {
                e.report(now, r.running(), r.waiting());
            }
        } else if (input instanceof PolicyInput.CacheEvent c) {
            if (endpoints.get(c.endpoint()) != null && prefixes.apply(now, c)) {
                out.add(new PolicyEffect.RequestCacheSnapshot(c.endpoint()));
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

    private void rulesChanged(PolicyRules newRules) {
        rules = newRules;
        fairness.rules(newRules);
        admission.rules(newRules);
        suspender.rules(newRules);
        counters.values().forEach(c -> c.credit(newRules.burstCredit()));
    }

    private void submit(long now, WorkRequest request) {
        AccountStats s = stats(request.account());
        AccountKey key = AccountKey.of(request);
        Long leader = key == null ? null : keys.get(key);
        if (leader != null) {
            s.joined++;
            out.add(new PolicyEffect.Join(request.ticket(), leader));
            return;
        }
        if (endpoints.serving(request.target()).isEmpty()) {
            String detail = "no endpoint serves %s".formatted(request.target());
            refuse(request, new Failure(ResultCode.NO_ENDPOINT, detail), 1_000);
            return;
        }
        double tokens = request.promptTokens() + lengths.outputTokens(request);
        Admission.Refusal refusal = admission.check(now, request, tokens);
        if (refusal == null && queues.size() >= rules.maxQueued() && !dropHopeless(now)) {
            Failure full =
                    new Failure(
                            ResultCode.NOT_RUN_QUEUE_FULL,
                            "%d requests wait on this router".formatted(queues.size()));
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
            keys.put(key, request.ticket());
        }
        long longest = rules.of(request.account()).queueMillis(request.rank());
        long order = orders++ - (request.recovery() ? RECOVERY_ORDER_BONUS : 0);
        long wait = request.recovery() ? longest : Math.min(request.maxWaitMillis(), longest);
        Work work = new Work(request, order, now, now + wait);
        works.put(request.ticket(), work);
        counters.get(request.rank()).countRequest(request.account());
        enqueue(work);
    }

    private void enqueue(Work work) {
        WorkRequest r = work.request;
        int before = queues.waiting(r.rank(), r.account());
        counters.get(r.rank())
                .update(r.account(), before + 1, admission.running(r.rank(), r.account()));
        queues.add(work);
        leases.changed(r.target());
    }

    private void noteCounts(WorkRequest r) {
        counters.get(r.rank())
                .update(
                        r.account(),
                        queues.waiting(r.rank(), r.account()),
                        admission.running(r.rank(), r.account()));
        leases.changed(r.target());
    }

    /** Starts {@code work}, which has just been taken out of its queue. */
    private void start(long now, Work work, EndpointState e) {
        WorkRequest r = work.request;
        work.state = Work.State.RUNNING;
        work.endpoint = e;
        work.startedAt = now;
        e.occupy(r.rank(), 1);
        admission.started(now, r);
        double expected = cost(r, Math.max(work.outputTokens, lengths.outputTokens(r)));
        charge(work, expected);
        prefixes.expect(now, e.info.id(), r.prefix());
        stats(r.account()).started++;
        noteCounts(r);
        out.add(new PolicyEffect.Start(r.ticket(), e.info.id()));
    }

    private void suspend(Work work) {
        work.state = Work.State.SUSPENDING;
        stats(work.request.account()).suspended++;
        out.add(new PolicyEffect.Suspend(work.request.ticket()));
    }

    private void progress(PolicyInput.Progress p) {
        Work work = works.get(p.ticket());
        if (work != null && work.state == Work.State.RUNNING) {
            double soFar = cost(work.request, work.outputTokens + p.outputTokens());
            if (soFar > work.charged) {
                charge(work, soFar);
            }
        }
    }

    private void suspended(long now, PolicyInput.Suspended s) {
        Work work = works.get(s.ticket());
        if (work == null || work.state != Work.State.SUSPENDING) {
            return;
        }
        leave(work);
        work.outputTokens += s.outputTokens();
        work.promptTokens += s.outputTokens();
        charge(work, cost(work.request, work.outputTokens));
        work.suspensions++;
        if (work.request.rank() == Rank.BULK) {
            leases.suspended(work.endpoint);
        }
        work.state = Work.State.WAITING;
        work.deadline = now + rules.of(work.request.account()).queueMillis(work.request.rank());
        enqueue(work);
    }

    private void finished(long now, PolicyInput.Finished f) {
        Work work = works.get(f.ticket());
        if (work == null || work.state == Work.State.WAITING) {
            return;
        }
        leave(work);
        works.remove(f.ticket());
        forgetKey(work.request);
        int tokens = work.outputTokens + f.outputTokens();
        double cost = cost(work.request, tokens);
        charge(work, cost);
        double guessed = lengths.outputTokens(work.request);
        admission.correctTokens(now, work.request.account(), tokens - guessed);
        EndpointState e = work.endpoint;
        if (f.outcome() == Outcome.DONE) {
            lengths.learn(work.request, tokens, cost);
            admission.succeeded(work.request);
            if (e != null) {
                e.health.succeeded(now);
            }
        } else if (f.outcome() == Outcome.ENDPOINT_FAILED) {
            e.health.failed(now);
        }
        noteCounts(work.request);
    }

    private void cancel(long now, long ticket) {
        Work work = works.get(ticket);
        if (work == null) {
            return;
        }
        if (work.state != Work.State.WAITING) {
            finished(now, new PolicyInput.Finished(ticket, Outcome.CANCELLED, 0));
            return;
        }
        works.remove(ticket);
        queues.remove(work);
        forgetKey(work.request);
        noteCounts(work.request);
    }

    private void leave(Work work) {
        suspender.ended(work);
        admission.ended(work.request);
        work.endpoint.occupy(work.request.rank(), -1);
    }

    private void expire(long now) {
        Work work = queues.earliest();
        while (work != null && work.deadline <= now) {
            drop(now, work);
            work = queues.earliest();
        }
    }

    /** Makes room by dropping the work that is least likely to start in time. */
    private boolean dropHopeless(long now) {
        Work work = queues.earliest();
        if (work == null || work.suspensions > 0) {
            return false;
        }
        if (now + admission.expectedWait(now, work.request) <= work.deadline) {
            return false;
        }
        drop(now, work);
        return true;
    }

    private void drop(long now, Work work) {
        works.remove(work.request.ticket());
        queues.remove(work);
        forgetKey(work.request);
        boolean ran = work.suspensions > 0 || work.request.recovery();
        ResultCode code = ran ? ResultCode.SUSPENDED_TOO_LONG : ResultCode.NOT_RUN_DEADLINE;
        String detail = "waited %d ms for a start".formatted(now - work.arrivedAt);
        refuse(work.request, new Failure(code, detail), 1_000);
        noteCounts(work.request);
    }

    private void refuse(WorkRequest request, Failure failure, long retryAfterMillis) {
        stats(request.account()).refused(failure.code());
        out.add(new PolicyEffect.Refuse(request.ticket(), failure, retryAfterMillis));
    }

    private void charge(Work work, double total) {
        double difference = total - work.charged;
        work.charged = total;
        stats(work.request.account()).served += difference;
        counters.get(work.request.rank()).charge(work.request.account(), difference);
    }

    private double cost(WorkRequest r, double outputTokens) {
        double prompt = r.promptTokens() * rules.promptTokenCost();
        return LengthEstimator.REQUEST_COST + prompt + outputTokens;
    }

    private void forgetKey(WorkRequest request) {
        AccountKey key = AccountKey.of(request);
        if (key != null) {
            keys.remove(key);
        }
    }

    private AccountStats stats(AccountId account) {
        return stats.computeIfAbsent(account, a -> new AccountStats());
    }

    private AccountReport report(long now, AccountId account, AccountStats s) {
        Map<Rank, Integer> waiting = new EnumMap<>(Rank.class);
        Map<Rank, Integer> running = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            waiting.put(rank, queues.waiting(rank, account));
            running.put(rank, admission.running(rank, account));
        }
        Optional<Work> oldest =
                works.values().stream()
                        .filter(w -> w.state == Work.State.WAITING)
                        .filter(w -> w.request.account().equals(account))
                        .min(Comparator.comparingLong(w -> w.arrivedAt));
        return new AccountReport(
                account,
                waiting,
                running,
                s.started,
                s.joined,
                s.suspended,
                s.refused(),
                s.served,
                oldest.map(w -> now - w.arrivedAt).orElse(0L));
    }

    private record AccountKey(AccountId account, RequestKey key) {
        private static AccountKey of(WorkRequest r) {
            return r.key() == null || r.recovery() ? null : new AccountKey(r.account(), r.key());
        }
    }
}
