package io.siskintrail.internal.generation;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/** Simulates routers, engines, callers and a lossy network in virtual time, in milliseconds. */
final class PathSimulation {
    static final ModelId V1 = new ModelId("quote", "", "v1");
    static final ModelId V2 = new ModelId("quote", "", "v2");

    private static final int ROUTERS = 4;
    private static final int DOMAINS = 3;
    private static final int TICK_MILLIS = 25;
    private static final int TOKEN_GAP_MILLIS = 20;
    private static final int MEMBERSHIP_DELAY_MILLIS = 400;
    private static final int SETTLE_TIMEOUT_MILLIS = 120_000;
    private static final GenerationSettings SETTINGS = GenerationSettings.defaults();

    final CallerOracle oracle = new CallerOracle();
    final List<PathCaller> callers = new ArrayList<>();
    final Map<ResultCode, Integer> outcomes = new HashMap<>();
    final List<Router> routers = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    final Set<GenerationId> started = new HashSet<>();
    long now = 1_000;
    long steps;
    int lossPercent;
    int repeatPercent;
    int maxDelayMillis = 3;
    boolean chunkFaults;

    private final SplittableRandom random;
    private final boolean saltTokens;
    private final SafetyChecks checks;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<HostInfo> hosts = new ArrayList<>();
    private long sequence;
    private int nextId;

    PathSimulation(long seed, boolean saltTokens, SafetyChecks checks) {
        this.random = new SplittableRandom(seed);
        this.saltTokens = saltTokens;
        this.checks = checks;
        for (int i = 0; i < ROUTERS; i++) {
            HostId id = new HostId("r" + i);
            hosts.add(new HostInfo(id, new FailureDomain("d" + i % DOMAINS), id + ":1"));
        }
        hosts.forEach(host -> routers.add(new Router(host)));
        routers.forEach(Router::start);
        for (int i = 0; i < 5; i++) {
            engines.add(new Engine(new EndpointId("e" + i), i < 4 ? V1 : V2));
        }
    }

    SplittableRandom random() {
        return random;
    }

    /** Runs all events of the next {@code millis} milliseconds. */
    void advance(long millis) {
        long until = now + millis;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            event.action.run();
        }
        now = until;
    }

    /** Ends all faults and runs until every caller has an outcome; fails after two minutes. */
    void settle() {
        lossPercent = 0;
        repeatPercent = 0;
        maxDelayMillis = 3;
        chunkFaults = false;
        routers.forEach(Router::recover);
        engines.forEach(Engine::recover);
        long limit = now + SETTLE_TIMEOUT_MILLIS;
        while (now < limit && callers.stream().anyMatch(c -> !c.isDone())) {
            advance(TICK_MILLIS);
        }
        callers.forEach(PathCaller::requireOutcome);
    }

    int nextId() {
        return nextId++;
    }

    void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    /** Returns a random router that is up and not draining, null when there is none. */
    Router randomAvailableRouter() {
        List<Router> runningRouters = routers.stream().filter(r -> r.up && !r.draining).toList();
        return runningRouters.isEmpty()
                ? null
                : runningRouters.get(random.nextInt(runningRouters.size()));
    }

    GenerationSpec newSpec(String key, String body) {
        AccountId account = new AccountId("clinic");
        return new GenerationSpec(
                new GenerationId("g" + nextId()),
                new RequestRef(account, new RequestKey(key)),
                V1,
                Rank.URGENT,
                7,
                Fingerprint.of(account, body),
                10,
                body);
    }

    private boolean happensWithProbability(int percent) {
        return random.nextInt(100) < percent;
    }

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Router process with one stripe. */
    final class Router {
        final HostInfo host;
        boolean up;
        boolean paused;
        boolean draining;
        int incarnation;
        GenerationMachine machine;
        private List<GenerationInput> inputsWhilePaused = new ArrayList<>();

        Router(HostInfo host) {
            this.host = host;
        }

        void start() {
            incarnation++;
            up = true;
            paused = false;
            draining = false;
            inputsWhilePaused.clear();
            machine = new GenerationMachine(SETTINGS, host, incarnation, 0, checks);
            input(incarnation, new GenerationInput.Routers(hosts));
            tick(incarnation);
        }

        void kill() {
            if (!up) {
                return;
            }
            up = false;
            int deadIncarnation = incarnation;
            engines.forEach(e -> e.attempts.removeIf(a -> a.router == this));
            callers.forEach(c -> c.onRouterKilled(this));
            if (happensWithProbability(50)) {
                schedule(MEMBERSHIP_DELAY_MILLIS, () -> announceDown(deadIncarnation));
            }
        }

        void recover() {
            if (draining) {
                kill();
            }
            if (!up) {
                start();
            }
            resume();
        }

        void resume() {
            if (paused) {
                paused = false;
                List<GenerationInput> delayed = inputsWhilePaused;
                inputsWhilePaused = new ArrayList<>();
                int currentIncarnation = incarnation;
                delayed.forEach(in -> input(currentIncarnation, in));
            }
        }

        void reconnectCallers() {
            callers.forEach(c -> c.reconnectIfConnectedTo(this));
        }

        void drain() {
            if (up && !paused) {
                draining = true;
                input(incarnation, new GenerationInput.Drain(now + 500));
            }
        }

        void input(int forIncarnation, GenerationInput in) {
            if (!up || incarnation != forIncarnation) {
                return;
            }
            if (paused) {
                inputsWhilePaused.add(in);
                return;
            }
            steps++;
            machine.step(now, in).forEach(this::applyEffect);
        }

        private void announceDown(int deadIncarnation) {
            if (up && incarnation == deadIncarnation) {
                return;
            }
            for (Router other : routers) {
                other.input(other.incarnation, new GenerationInput.RouterDown(host.id()));
            }
        }

        private void tick(int forIncarnation) {
            if (incarnation == forIncarnation && up) {
                if (!paused) {
                    input(forIncarnation, new GenerationInput.Tick());
                }
                schedule(TICK_MILLIS, () -> tick(forIncarnation));
            }
        }

        private void applyEffect(GenerationEffect effect) {
            if (effect instanceof GenerationEffect.Send e) {
                transmit(e);
            } else if (effect instanceof GenerationEffect.Deliver e) {
                callers.get((int) e.caller()).onDeliver(this, e);
            } else if (effect instanceof GenerationEffect.Finish e) {
                callers.get((int) e.caller()).onFinish(this, e);
            } else if (effect instanceof GenerationEffect.RequestSlot e) {
                int currentIncarnation = incarnation;
                schedule(random.nextInt(5), () -> input(currentIncarnation, answerSlotRequest(e)));
            } else if (effect instanceof GenerationEffect.StartAttempt e) {
                started.add(e.spec().id());
                engine(e.endpoint()).begin(this, e);
            } else if (effect instanceof GenerationEffect.EndAttempt e) {
                cancel(e.endpoint(), e.generation(), e.attempt());
            } else if (effect instanceof GenerationEffect.EndpointLost e) {
                forwardSilence(e);
            } else if (effect instanceof GenerationEffect.CancelForeign e) {
                cancel(e.endpoint(), e.generation(), e.attempt());
            }
        }

        private void transmit(GenerationEffect.Send e) {
            Router to = routers.get(hosts.indexOf(hostInfo(e.to())));
            int copies =
                    happensWithProbability(lossPercent)
                            ? 0
                            : happensWithProbability(repeatPercent) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                GenerationInput in =
                        new GenerationInput.Message(host.id(), incarnation, e.message());
                schedule(1 + random.nextInt(maxDelayMillis), () -> to.input(to.incarnation, in));
            }
        }

        private void forwardSilence(GenerationEffect.EndpointLost e) {
            if (e.silent()) {
                input(incarnation, new GenerationInput.EndpointSilent(e.endpoint()));
            }
        }

        private void cancel(EndpointId endpoint, GenerationId generation, int attempt) {
            if (happensWithProbability(70)) {
                engine(endpoint)
                        .attempts
                        .removeIf(
                                a ->
                                        a.start.spec().id().equals(generation)
                                                && a.start.attempt() == attempt);
            }
        }

        private GenerationInput answerSlotRequest(GenerationEffect.RequestSlot e) {
            List<Engine> serving =
                    engines.stream().filter(x -> x.serves(e.spec().model())).toList();
            List<Engine> notAvoided =
                    serving.stream().filter(x -> !e.avoid().contains(x.id)).toList();
            List<Engine> choices = notAvoided.isEmpty() ? serving : notAvoided;
            if (choices.isEmpty()) {
                boolean otherVersionServed = engines.stream().anyMatch(x -> x.serves(V2));
                return new GenerationInput.SlotRefused(
                        e.spec().id(),
                        e.attempt(),
                        new Failure(ResultCode.NO_ENDPOINT, "none"),
                        otherVersionServed ? V2 : null);
            }
            return new GenerationInput.SlotGranted(
                    e.spec().id(), e.attempt(), choices.get(random.nextInt(choices.size())).id);
        }
    }

    private HostInfo hostInfo(HostId id) {
        return hosts.stream().filter(h -> h.id().equals(id)).findFirst().orElseThrow();
    }

    private Engine engine(EndpointId id) {
        return engines.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow();
    }

    /** Engine; samples different tokens in each attempt when the simulation salts its tokens. */
    final class Engine {
        final EndpointId id;
        final ModelId model;
        final List<Attempt> attempts = new ArrayList<>();
        boolean up = true;
        boolean isListed = true;
        boolean paused;
        int tokenGapMillis = TOKEN_GAP_MILLIS;

        Engine(EndpointId id, ModelId model) {
            this.id = id;
            this.model = model;
        }

        boolean serves(ModelId wanted) {
            return isListed && model.equals(wanted);
        }

        void kill() {
            up = false;
            List.copyOf(attempts).forEach(this::reset);
            schedule(MEMBERSHIP_DELAY_MILLIS, () -> isListed = up);
        }

        void recover() {
            up = true;
            isListed = true;
            tokenGapMillis = TOKEN_GAP_MILLIS;
            resume();
        }

        void resume() {
            if (paused) {
                paused = false;
                List.copyOf(attempts).forEach(a -> schedule(1, () -> produce(a)));
            }
        }

        void resetRandomStream() {
            if (!attempts.isEmpty()) {
                reset(attempts.get(random.nextInt(attempts.size())));
            }
        }

        void begin(Router router, GenerationEffect.StartAttempt start) {
            Attempt a = new Attempt(router, start);
            attempts.add(a);
            if (!up) {
                reset(a);
                return;
            }
            schedule(10 + start.prefix().size() / 4, () -> produce(a));
        }

        private void reset(Attempt a) {
            attempts.remove(a);
            GenerationInput in =
                    new GenerationInput.AttemptFailed(
                            a.start.spec().id(), a.start.attempt(), AttemptEnd.RESET, "reset");
            schedule(1, () -> a.router.input(a.incarnation, in));
        }

        private void produce(Attempt a) {
            if (!attempts.contains(a) || !up || paused) {
                return;
            }
            int length = 3 + (int) Math.floorMod(a.start.spec().fingerprint().high(), 50);
            int offset = a.position;
            if (offset >= length) {
                oracle.recordEnd(a.prefix);
                attempts.remove(a);
                emit(a, offset, TokenRun.EMPTY, new Outcome(ResultCode.OK, "stop"));
                return;
            }
            long salt = saltTokens ? a.salt : 0;
            int token = (int) (CallerOracle.hashPair(a.prefix, salt) >>> 33);
            oracle.recordToken(a.prefix, token);
            a.prefix = CallerOracle.extendPrefix(a.prefix, token);
            a.position++;
            TokenRun run = TokenRun.single(token, "t" + token % 10);
            emit(a, offset, run, null);
            schedule(tokenGapMillis, () -> produce(a));
        }

        private void emit(Attempt a, int offset, TokenRun run, Outcome end) {
            GenerationInput in =
                    new GenerationInput.Chunk(
                            a.start.spec().id(), a.start.attempt(), offset, run, end);
            if (chunkFaults && happensWithProbability(10)) {
                return;
            }
            int copies = chunkFaults && happensWithProbability(10) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                int delay =
                        chunkFaults && happensWithProbability(15)
                                ? random.nextInt(3 * TOKEN_GAP_MILLIS)
                                : 1;
                schedule(delay, () -> a.router.input(a.incarnation, in));
            }
        }
    }

    /** Stream at an engine. */
    private final class Attempt {
        private final Router router;
        private final int incarnation;
        private final GenerationEffect.StartAttempt start;
        private final long salt = nextId();
        private long prefix;
        private int position;

        private Attempt(Router router, GenerationEffect.StartAttempt start) {
            this.router = router;
            this.incarnation = router.incarnation;
            this.start = start;
            prefix = CallerOracle.emptyPrefix(start.spec().fingerprint(), start.spec().model());
            for (int i = 0; i < start.prefix().size(); i++) {
                prefix = CallerOracle.extendPrefix(prefix, start.prefix().id(i));
            }
            position = start.prefix().size();
        }
    }
}
