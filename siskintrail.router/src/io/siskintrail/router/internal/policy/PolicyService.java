package io.siskintrail.router.internal.policy;

import io.siskintrail.internal.generation.AttemptEnd;
import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.internal.policy.AccountReport;
import io.siskintrail.internal.policy.Dispatcher;
import io.siskintrail.internal.policy.Outcome;
import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.internal.policy.PolicyMessage;
import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.internal.policy.Target;
import io.siskintrail.internal.policy.WorkRequest;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.router.internal.generation.SlotSource;
import io.siskintrail.router.internal.generation.SpecBody;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerTransport;
import io.siskintrail.wire.PolicyCodec;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Owns the dispatcher of this router: hands it what happens and carries out what it decides, on the
 * control thread. Hands out the slots of the generations.
 */
public final class PolicyService implements Service, SlotSource {
    private static final System.Logger LOG = System.getLogger(PolicyService.class.getName());
    private static final long TICK_MILLIS = 5;
    static final long WATCH_MILLIS = 100;
    private static final long PROGRESS_MILLIS = 200;
    private static final long CALLER_WAIT_MILLIS = 600_000;

    private final PeerTransport transport;
    private final ControlLoop loop;
    private final EndpointDirectory directory;
    private final Supplier<Set<HostId>> routers;
    private final RulesView rules;
    private final PolicyMeters meters;
    private final Dispatcher dispatcher;
    private Consumer<EndpointId> whenGone = id -> {};
    private final Map<EndpointId, EndpointInfo> known = new HashMap<>();
    private final Map<EndpointId, String> addresses = new ConcurrentHashMap<>();
    private final Map<GenerationId, SlotTicket> byGeneration = new ConcurrentHashMap<>();
    private final Map<Long, SlotTicket> byTicket = new HashMap<>();
    private Rules rulesSeen;
    private PolicyInput.Peers peersSeen;
    private long tickets;
    private volatile boolean stopped;

    /**
     * Prepares the service; to be made before the transport starts.
     *
     * @param self this router
     * @param incarnation larger at every start of this host
     * @param transport carries usage and leases
     * @param loop the control thread
     * @param directory the endpoints that may take new work
     * @param routers the live routers, this one included; asked on the control thread
     * @param rules the rules in force, and whether they are current
     * @param meters takes the measurements
     */
    public PolicyService(
            HostId self,
            long incarnation,
            PeerTransport transport,
            ControlLoop loop,
            EndpointDirectory directory,
            Supplier<Set<HostId>> routers,
            RulesView rules,
            PolicyMeters meters) {
        this.transport = transport;
        this.loop = loop;
        this.directory = directory;
        this.routers = routers;
        this.rules = rules;
        this.meters = meters;
        this.dispatcher = new Dispatcher(self, incarnation, PolicyRules.DEFAULT);
        transport.handle(MessageKind.POLICY, this::receive);
    }

    @Override
    public void start() {
        loop.execute(this::watch);
        loop.every(TICK_MILLIS, () -> step(new PolicyInput.Tick()));
        loop.every(WATCH_MILLIS, this::watch);
        loop.every(PROGRESS_MILLIS, this::reportProgress);
    }

    @Override
    public void stop() {
        stopped = true;
    }

    /** Returns how each client account fares on this router. */
    public CompletionStage<List<AccountReport>> accounts() {
        return loop.submit(() -> dispatcher.accountReports(ControlLoop.nowMillis()));
    }

    @Override
    public void request(GenerationEffect.RequestSlot ask, Consumer<GenerationInput> answer) {
        SpecBody body = SpecBody.parse(ask.spec().body());
        long[] prefix = PromptBlocks.of(ask.spec().model(), body.prompt());
        loop.execute(() -> submit(ask, body.maxTokens(), prefix, answer));
    }

    @Override
    public void withdraw(GenerationId generation, int attempt) {
        loop.execute(
                () -> {
                    SlotTicket t = byGeneration.get(generation);
                    if (t != null && t.attempt == attempt) {
                        forget(t);
                        step(new PolicyInput.Cancel(t.request.ticket()));
                    }
                });
    }

    @Override
    public void release(
            GenerationId generation, int attempt, EndpointId endpoint, AttemptEnd cause) {
        loop.execute(() -> release(generation, attempt, cause));
    }

    @Override
    public String address(EndpointId endpoint) {
        return addresses.get(endpoint);
    }

    @Override
    public void progress(GenerationId generation, int tokens) {
        SlotTicket t = byGeneration.get(generation);
        if (t == null || tokens == 0) {
            return;
        }
        long now = ControlLoop.nowMillis();
        AccountId account = t.request.account();
        if (t.lastTokenAt == 0) {
            meters.firstToken(account, t.request.rank(), now - t.submittedAt);
        } else {
            meters.gap(account, t.request.rank(), now - t.lastTokenAt);
        }
        t.lastTokenAt = now;
        t.tokens.addAndGet(tokens);
    }

    private void submit(
            GenerationEffect.RequestSlot ask,
            int maxTokens,
            long[] prefix,
            Consumer<GenerationInput> answer) {
        GenerationId id = ask.spec().id();
        SlotTicket waiting = byGeneration.get(id);
        if (waiting != null && (waiting.awaitsRequest || waiting.suspending)) {
            rebind(waiting, ask.attempt(), answer);
            return;
        }
        AccountId account = ask.spec().ref().account();
        WorkRequest request =
                new WorkRequest(
                        ++tickets,
                        account,
                        rules.rules().rank(account, ask.spec().model().model()),
                        Target.of(ask.spec().model()),
                        null,
                        ask.spec().fingerprint().low(),
                        ask.spec().promptTokens() + ask.journalTokens(),
                        Math.max(1, maxTokens),
                        CALLER_WAIT_MILLIS,
                        prefix,
                        ask.recovery() || ask.journalTokens() > 0);
        SlotTicket t = new SlotTicket(request, id, ask.attempt(), answer, ControlLoop.nowMillis());
        byGeneration.put(id, t);
        byTicket.put(request.ticket(), t);
        step(new PolicyInput.Submit(request));
    }

    /** Lets a suspended generation wait on under its next attempt. */
    private void rebind(SlotTicket t, int attempt, Consumer<GenerationInput> answer) {
        t.attempt = attempt;
        t.answer = answer;
        t.awaitsRequest = false;
        if (t.endpoint != null && !t.suspending) {
            answer.accept(new GenerationInput.SlotGranted(t.generation, attempt, t.endpoint));
        }
    }

    private void release(GenerationId generation, int attempt, AttemptEnd cause) {
        SlotTicket t = byGeneration.get(generation);
        if (t == null || t.attempt != attempt) {
            return;
        }
        int tokens = t.tokens.getAndSet(0);
        if (cause == AttemptEnd.SUSPENDED && t.suspending) {
            t.suspending = false;
            t.awaitsRequest = true;
            t.endpoint = null;
            step(new PolicyInput.Suspended(t.request.ticket(), tokens));
            return;
        }
        forget(t);
        step(new PolicyInput.Finished(t.request.ticket(), outcome(cause), tokens));
    }

    private static Outcome outcome(AttemptEnd cause) {
        return switch (cause) {
            case FINISHED -> Outcome.DONE;
            case RESET, SILENT, UNREACHABLE, REFUSED, NO_FIRST_TOKEN -> Outcome.ENDPOINT_FAILED;
            case ABANDONED, SUSPENDED -> Outcome.CANCELLED;
            case STALLED, GAP, MISMATCH -> Outcome.FAILED;
        };
    }

    private void forget(SlotTicket t) {
        byGeneration.remove(t.generation, t);
        byTicket.remove(t.request.ticket());
    }

    /** Follows endpoints, routers and rules, which other services publish. */
    private void watch() {
        Rules inForce = rules.rules();
        if (inForce != rulesSeen) {
            rulesSeen = inForce;
            step(new PolicyInput.RulesChanged(PolicyRules.fromRules(inForce)));
        }
        PolicyInput.Peers peers = new PolicyInput.Peers(routers.get(), rules.mayTakeWork());
        if (!peers.equals(peersSeen)) {
            peersSeen = peers;
            step(peers);
        }
        watchEndpoints();
    }

    private void watchEndpoints() {
        Set<EndpointId> gone = new HashSet<>(known.keySet());
        for (EndpointInfo info : directory.live()) {
            gone.remove(info.id());
            if (!info.equals(known.put(info.id(), info))) {
                addresses.put(info.id(), info.address());
                step(new PolicyInput.EndpointUp(info));
            }
        }
        for (EndpointId id : gone) {
            EndpointInfo info = known.remove(id);
            step(new PolicyInput.EndpointGone(id));
            if (info.models().stream().anyMatch(m -> !directory.live(m).isEmpty())) {
                whenGone.accept(id);
            }
        }
    }

    /**
     * Sets who is told of an endpoint that no longer takes work while others of its models do; to
     * be called before the start. When all are gone, this router may be the one that is cut off.
     */
    public void onGone(Consumer<EndpointId> listener) {
        whenGone = listener;
    }

    private void reportProgress() {
        for (SlotTicket t : List.copyOf(byTicket.values())) {
            if (t.endpoint != null && t.tokens.get() > 0) {
                step(new PolicyInput.Progress(t.request.ticket(), t.tokens.get()));
            }
        }
    }

    private void receive(HostId sender, byte[] body) {
        PolicyMessage message;
        try {
            message = PolicyCodec.decode(body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "policy.message.refused").with("sender", sender).write();
            return;
        }
        loop.execute(() -> step(new PolicyInput.FromPeer(sender, message)));
    }

    private void step(PolicyInput input) {
        if (stopped) {
            return;
        }
        for (PolicyEffect effect : dispatcher.step(ControlLoop.nowMillis(), input)) {
            carryOut(effect);
        }
    }

    private void carryOut(PolicyEffect effect) {
        if (effect instanceof PolicyEffect.Send s) {
            transport.send(s.to(), MessageKind.POLICY, PolicyCodec.encode(s.message()));
        } else if (effect instanceof PolicyEffect.Start s) {
            started(byTicket.get(s.ticket()), s.endpoint());
        } else if (effect instanceof PolicyEffect.Refuse r) {
            refused(byTicket.get(r.ticket()), r);
        } else if (effect instanceof PolicyEffect.Suspend s) {
            suspend(byTicket.get(s.ticket()));
        }
    }

    private void started(SlotTicket t, EndpointId endpoint) {
        t.endpoint = endpoint;
        meters.queueWait(
                t.request.account(), t.request.rank(), ControlLoop.nowMillis() - t.submittedAt);
        if (!t.awaitsRequest) {
            t.answer.accept(new GenerationInput.SlotGranted(t.generation, t.attempt, endpoint));
        }
    }

    private void refused(SlotTicket t, PolicyEffect.Refuse r) {
        forget(t);
        meters.refused(t.request.account(), t.request.rank(), r.failure().code());
        Failure failure =
                new Failure(
                        r.failure().code(),
                        "%s; retry after %d ms"
                                .formatted(r.failure().detail(), r.retryAfterMillis()));
        ModelId other =
                r.failure().code() == ResultCode.NO_ENDPOINT ? otherVersion(t.request) : null;
        t.answer.accept(new GenerationInput.SlotRefused(t.generation, t.attempt, failure, other));
    }

    private ModelId otherVersion(WorkRequest request) {
        return directory.models().stream()
                .filter(m -> !Target.of(m).equals(request.target()))
                .filter(m -> isSameModel(m, request.target()))
                .max(Comparator.comparing(ModelId::version))
                .orElse(null);
    }

    private static boolean isSameModel(ModelId m, Target target) {
        String name = Target.of(new ModelId(m.model(), m.adapter(), "-")).value();
        String prefix = name.substring(0, name.length() - 1);
        return target.value().startsWith(prefix);
    }

    private void suspend(SlotTicket t) {
        t.suspending = true;
        Rank rank = t.request.rank();
        meters.suspended(t.request.account(), rank);
        LogEvent.info(LOG, "generation.suspended")
                .with("generation", t.generation)
                .with("account", t.request.account())
                .with("rank", rank)
                .write();
        t.answer.accept(new GenerationInput.Suspend(t.generation));
    }
}
