package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates hosts that send requests to engines and exchange the effects of their analyses of
 * crashes. An engine reads a prompt for 0.6 to 2 s before it begins to answer; one with a crashing
 * part crashes it then. Unanswered requests are tried again elsewhere, up to five times.
 */
final class CrashSimulation {
    private static final int HOSTS = 7;
    private static final int ENGINES = 25;
    private static final int MAX_ATTEMPTS = 5;
    private static final int RESTART_MILLIS = 3_000;
    private static final int WARM_UP_MILLIS = 5_000;
    private static final int SOUND_BEFORE_MILLIS = 12_000;
    private static final int CRASHES_BEFORE_BUDGET = 5;
    private static final int BUDGET_DELAY_MILLIS = 3_000;
    private static final long WRONG_MILLIS = 1_000;

    final Map<String, Integer> crashesOfPart = new TreeMap<>();
    final Map<String, Integer> lateRequests = new TreeMap<>();
    final List<String> wrongRefusals = new ArrayList<>();
    int soundRefused;
    int soundAnswered;
    int crashes;

    private final SplittableRandom random;
    private final Options options;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Set<Fingerprint> crashingContents = new HashSet<>();
    private final Map<String, Long> fifthCrashAt = new HashMap<>();
    private long now;
    private long sequence;

    /**
     * Describes the traffic.
     *
     * @param share the share of requests with a crashing part
     * @param parts the number of crashing parts
     * @param ownCompanion whether the first part of crashing requests occurs in no sound request
     * @param soundBefore whether the crashing parts crash nothing for the first 12 s
     * @param otherCrashes whether endpoints also crash for other reasons
     * @param domainLosses whether 12 endpoints are lost within 300 ms, twice
     */
    record Options(
            double share,
            int parts,
            boolean ownCompanion,
            boolean soundBefore,
            boolean otherCrashes,
            boolean domainLosses) {}

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final class Request {
        private final Fingerprint content = new Fingerprint(++sequence, 7);
        private final Set<PromptPart> parts = new LinkedHashSet<>();
        private String crashingPart;
        private int attempts;
        private Engine engine;
        private int attempt;
    }

    private static final class Engine {
        private EndpointId id;
        private boolean up = true;
        private final Map<Request, Host> unanswered = new LinkedHashMap<>();
    }

    private final class Host {
        private final HostId id;
        private final CrashAnalysis analysis;
        private final Map<CrashSignature, Long> refused = new LinkedHashMap<>();

        private Host(int index) {
            id = new HostId("h" + index);
            analysis = new CrashAnalysis(() -> HOSTS, new SplittableRandom(index)::nextDouble);
        }

        private void step(CrashInput input) {
            for (CrashEffect effect : analysis.step(now, input)) {
                apply(effect);
            }
        }

        private void apply(CrashEffect effect) {
            if (effect instanceof CrashEffect.ReportCrash e) {
                tellOthers(new CrashInput.Reported(id, e.endpoint(), e.suspects()));
            } else if (effect instanceof CrashEffect.ReportSound e) {
                tellOthers(new CrashInput.ReportedSound(e.ageMillis()));
            } else if (effect instanceof CrashEffect.Announce e) {
                tellOthers(new CrashInput.Announced(e.signature(), e.millis()));
            } else if (effect instanceof CrashEffect.Evaluate e) {
                after(e.delayMillis(), () -> step(new CrashInput.Tick()));
            } else if (effect instanceof CrashEffect.SignatureRefused e) {
                change(e.signature(), e.on());
            }
        }

        private void tellOthers(CrashInput input) {
            for (Host other : hosts) {
                if (other != this) {
                    after(1 + random.nextInt(5), () -> other.step(input));
                }
            }
        }

        private void change(CrashSignature signature, boolean on) {
            if (on) {
                refused.put(signature, now);
                cancelMatching(this, signature);
            } else {
                checkRefusal(this, signature, refused.remove(signature));
            }
        }

        private CrashSignature findRefusal(Request request) {
            return refused.keySet().stream()
                    .filter(s -> s.matches(request.content, request.parts))
                    .findFirst()
                    .orElse(null);
        }
    }

    CrashSimulation(long seed, Options options) {
        this.options = options;
        random = new SplittableRandom(seed);
        for (int i = 0; i < HOSTS; i++) {
            Host host = new Host(i);
            hosts.add(host);
            after(random.nextInt(500), () -> tick(host));
        }
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine();
            engine.id = new EndpointId("e" + i);
            engines.add(engine);
        }
        after(1, this::arrive);
        if (options.otherCrashes) {
            after(WARM_UP_MILLIS, this::crashForOtherReason);
        }
        if (options.domainLosses) {
            long first = WARM_UP_MILLIS + random.nextInt(10_000);
            after(first, this::loseDomain);
            after(first + 3_000, this::loseDomain);
        }
    }

    void run(long millis) {
        while (events.peek().at <= millis) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        for (Host host : hosts) {
            host.refused.forEach((signature, since) -> checkRefusal(host, signature, since));
        }
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, ++sequence, action));
    }

    private void tick(Host host) {
        host.step(new CrashInput.Tick());
        after(500, () -> tick(host));
    }

    private void arrive() {
        Request request = new Request();
        boolean crashing = now > WARM_UP_MILLIS && random.nextDouble() < options.share;
        int first = random.nextInt(6);
        request.parts.add(
                new PromptPart(crashing && options.ownCompanion ? "own" : "first" + first));
        if (crashing) {
            request.crashingPart = "crashing" + random.nextInt(options.parts);
            request.parts.add(new PromptPart(request.crashingPart));
            crashingContents.add(request.content);
        } else if (random.nextInt(4) == 0) {
            request.parts.add(new PromptPart("rare" + random.nextInt(40)));
        }
        attempt(hosts.get(random.nextInt(HOSTS)), request);
        after(1 + (long) (-125 * Math.log(1 - random.nextDouble())), this::arrive);
    }

    private void attempt(Host host, Request request) {
        CrashSignature refusal = host.findRefusal(request);
        if (refusal != null) {
            soundRefused += request.crashingPart == null ? 1 : 0;
            return;
        }
        List<Engine> available = engines.stream().filter(e -> e.up).toList();
        if (request.attempts++ >= MAX_ATTEMPTS || available.isEmpty()) {
            return;
        }
        countLate(request);
        Engine engine = available.get(random.nextInt(available.size()));
        request.engine = engine;
        engine.unanswered.put(request, host);
        int attempt = ++request.attempt;
        boolean crashes = isCrashing(request);
        long reading = 600 + random.nextInt(1_400) + (crashes ? 40 + random.nextInt(80) : 0);
        after(reading, () -> finishReading(host, request, engine, attempt));
    }

    private boolean isCrashing(Request request) {
        return request.crashingPart != null && (!options.soundBefore || now >= SOUND_BEFORE_MILLIS);
    }

    private void countLate(Request request) {
        Long fifth = fifthCrashAt.get(request.crashingPart);
        if (fifth != null && now > fifth + BUDGET_DELAY_MILLIS) {
            lateRequests.merge(request.crashingPart, 1, Integer::sum);
        }
    }

    private void finishReading(Host host, Request request, Engine engine, int attempt) {
        if (request.attempt != attempt || !engine.unanswered.containsKey(request)) {
            return;
        }
        if (!isCrashing(request)) {
            engine.unanswered.remove(request);
            soundAnswered++;
            host.step(new CrashInput.Answered(request.content, request.parts));
            return;
        }
        if (crashesOfPart.merge(request.crashingPart, 1, Integer::sum) == CRASHES_BEFORE_BUDGET) {
            fifthCrashAt.put(request.crashingPart, now);
        }
        crash(engine);
    }

    private void crash(Engine engine) {
        crashes++;
        engine.up = false;
        Map<Request, Host> lost = new LinkedHashMap<>(engine.unanswered);
        engine.unanswered.clear();
        EndpointId id = engine.id;
        for (Host host : hosts) {
            List<CrashSuspect> suspects = new ArrayList<>();
            lost.forEach(
                    (request, owner) -> {
                        if (owner == host) {
                            suspects.add(new CrashSuspect(request.content, request.parts));
                        }
                    });
            after(random.nextInt(5), () -> host.step(new CrashInput.Crashed(id, suspects)));
        }
        lost.forEach(
                (request, host) -> after(10 + random.nextInt(40), () -> attempt(host, request)));
        after(RESTART_MILLIS, () -> restart(engine));
    }

    private void restart(Engine engine) {
        engine.id = new EndpointId("n" + ++sequence);
        engine.up = true;
    }

    private void crashForOtherReason() {
        Engine engine = engines.get(random.nextInt(ENGINES));
        if (engine.up) {
            crash(engine);
        }
        after(random.nextInt(10_000), this::crashForOtherReason);
    }

    private void loseDomain() {
        int first = random.nextInt(ENGINES);
        for (int i = 0; i < 12; i++) {
            Engine engine = engines.get((first + i) % ENGINES);
            after(random.nextInt(300), () -> loseEngine(engine));
        }
    }

    private void loseEngine(Engine engine) {
        if (engine.up) {
            crash(engine);
        }
    }

    private void cancelMatching(Host host, CrashSignature signature) {
        for (Engine engine : engines) {
            List<Request> cancelled =
                    engine.unanswered.keySet().stream()
                            .filter(r -> engine.unanswered.get(r) == host)
                            .filter(r -> signature.matches(r.content, r.parts))
                            .toList();
            cancelled.forEach(engine.unanswered::remove);
            soundRefused += (int) cancelled.stream().filter(r -> r.crashingPart == null).count();
        }
    }

    private static boolean isOnlyInCrashing(PromptPart part) {
        return part.value().startsWith("crashing") || part.value().equals("own");
    }

    private void checkRefusal(Host host, CrashSignature signature, long since) {
        boolean right =
                signature instanceof CrashSignature.OfContent c
                        ? crashingContents.contains(c.content())
                        : ((CrashSignature.OfParts) signature)
                                .parts().stream().anyMatch(CrashSimulation::isOnlyInCrashing);
        if (!right && now - since > WRONG_MILLIS) {
            wrongRefusals.add(host.id + " " + signature + " at " + since + " until " + now);
        }
    }
}
