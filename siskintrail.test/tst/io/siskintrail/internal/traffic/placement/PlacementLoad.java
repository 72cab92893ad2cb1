package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Model, in virtual time, of 60 hosts that place streams on 84 engines in 3 failure domains. An
 * engine prefills prompts one after the other and turns a stream away when its memory is full. A
 * host learns of the loads of the others 100 ms late.
 */
final class PlacementLoad {
    static final int ENGINES = 84;
    private static final int HOSTS = 60;
    private static final int DOMAINS = 3;

    /** Of this many engines of a lost domain, all but one are lost. */
    private static final int LOST_OF = 10;

    private static final EngineSpec SPEC = new EngineSpec(32, 88_000, 7, true, 4_000);
    private static final int PROMPT_TOKENS = 8_200;
    private static final long TOKENS = 9_180;
    private static final double TOKENS_PER_MILLI = 8;
    private static final long DECODE_MILLIS = 6_000;
    private static final long REPORT_MILLIS = 100;
    private static final long RETRY_MILLIS = 50;
    private static final long MAX_PREFILL_MILLIS = 1_350;

    private final SplittableRandom random;
    private final boolean withSpeeds;
    private final double[] speeds;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Engine[] engines = new Engine[ENGINES];
    private final List<Long> firstEventMillis = new ArrayList<>();
    private long now = 1_000;
    private long scheduled;

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private static final class Engine {
        private final double speed;
        private long prefillEndsAt;
        private long usedTokens;
        private int sends;
        private boolean lost;
        private int incarnation;

        Engine(double speed) {
            this.speed = speed;
        }
    }

    private final class Host {
        private final HostId id;
        private final List<EndpointView> views = new ArrayList<>();
        private final EngineSpeeds known = new EngineSpeeds();
        private final StreamPlacement placement;

        Host(int number) {
            id = new HostId("h" + number);
            FailureDomain domain = new FailureDomain(domain(number));
            placement = new StreamPlacement(domain, random.split()::nextDouble);
            for (int e = 0; e < ENGINES; e++) {
                views.add(new EndpointView(Records.engine("e" + e, domain(e))));
            }
        }

        void place(long arrivedAt) {
            Set<EndpointId> failed = new HashSet<>();
            EndpointView chosen =
                    withSpeeds
                            ? placement.choose(
                                    now,
                                    views,
                                    SPEC,
                                    TOKENS,
                                    new PromptPrefill(PROMPT_TOKENS, known, HOSTS),
                                    MAX_PREFILL_MILLIS,
                                    null,
                                    v -> !failed.contains(v.record().id()))
                            : placement.choose(
                                    now, views, SPEC, TOKENS, MAX_PREFILL_MILLIS, null, v -> true);
            if (chosen == null) {
                after(RETRY_MILLIS, () -> place(arrivedAt));
                return;
            }
            int number = views.indexOf(chosen);
            Engine engine = engines[number];
            engine.sends++;
            if (engine.usedTokens + TOKENS > SPEC.memoryTokens() || engine.lost) {
                if (engine.lost) {
                    chosen.health().recordUnreachable(now);
                } else if (withSpeeds) {
                    chosen.recordRejection(now);
                }
                after(RETRY_MILLIS, () -> place(arrivedAt));
                return;
            }
            run(arrivedAt, chosen, number);
        }

        private void run(long arrivedAt, EndpointView chosen, int number) {
            Engine engine = engines[number];
            PlacedLoad load = chosen.totalLoad(now);
            boolean decoding = load.running() > 0;
            EndpointId name = chosen.record().id();
            double ahead = known.prefilledTokens(now, name, load.prefillMillis(), decoding);
            long ownMillis =
                    (long)
                            (withSpeeds
                                    ? known.prefillMillis(now, name, PROMPT_TOKENS, decoding)
                                    : PROMPT_TOKENS / TOKENS_PER_MILLI);
            chosen.beginRequest(TOKENS);
            chosen.beginPrefill(now, ownMillis);
            report(number);
            long sentAt = now;
            int incarnation = engine.incarnation;
            double share = engine.usedTokens > 0 ? 0.83 : 1;
            long millis = (long) (PROMPT_TOKENS / (TOKENS_PER_MILLI * engine.speed * share));
            engine.usedTokens += TOKENS;
            engine.prefillEndsAt = Math.max(now, engine.prefillEndsAt) + millis;
            // One first event in twenty is late for a reason other than the engine's speed.
            long delay = 80 + (random.nextInt(20) == 0 ? 1_500 : 0);
            after(
                    engine.prefillEndsAt - now + delay,
                    () -> {
                        chosen.endPrefill(now, ownMillis);
                        if (incarnation != engine.incarnation) {
                            chosen.endRequest(TOKENS);
                            report(number);
                            place(arrivedAt);
                            return;
                        }
                        firstEventMillis.add(now - arrivedAt);
                        known.recordFirstEvent(
                                now, name, PROMPT_TOKENS, ahead, decoding, now - sentAt);
                        report(number);
                        after(
                                (long) (DECODE_MILLIS / engine.speed),
                                () -> {
                                    chosen.endRequest(TOKENS);
                                    report(number);
                                    if (incarnation == engine.incarnation) {
                                        engine.usedTokens -= TOKENS;
                                    }
                                });
                    });
        }

        private void report(int number) {
            PlacedLoad load = views.get(number).localLoad(now);
            List<EngineSpeed> measured = known.takeUnreported(now);
            after(
                    REPORT_MILLIS,
                    () -> {
                        for (Host other : hosts) {
                            if (other != this) {
                                other.views.get(number).updateRemoteLoad(id, load, now);
                                measured.forEach(s -> other.known.recordReported(now, s));
                            }
                        }
                    });
        }
    }

    PlacementLoad(long seed, boolean withSpeeds, double... speeds) {
        random = new SplittableRandom(seed);
        this.withSpeeds = withSpeeds;
        this.speeds = speeds;
        for (int e = 0; e < ENGINES; e++) {
            engines[e] = new Engine(speeds[e / DOMAINS % speeds.length]);
        }
        for (int h = 0; h < HOSTS; h++) {
            hosts.add(new Host(h));
        }
    }

    /** Runs streams that arrive at random at hosts, {@code perSecond} on average. */
    PlacementLoad run(double perSecond, long millis) {
        arrive(perSecond, now + millis);
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        return this;
    }

    /** Loses a domain for 1.2 s every 6.5 s, the domains in turn, until {@code millis}. */
    PlacementLoad withLosses(long millis) {
        for (int i = 1; i * 6_500L < millis; i++) {
            int domain = i % DOMAINS;
            after(i * 6_500L, () -> setLost(domain, true));
            after(i * 6_500L + 1_200, () -> setLost(domain, false));
        }
        return this;
    }

    /** Returns the most sends of an engine relative to the mean of the engines of its speed. */
    double mostSendsOfMean() {
        return Arrays.stream(engines)
                .mapToDouble(e -> e.sends / sendsPerEngine(e.speed))
                .max()
                .orElse(0);
    }

    /** Returns the mean number of sends to an engine of {@code speed}. */
    double sendsPerEngine(double speed) {
        return Arrays.stream(engines)
                .filter(e -> e.speed == speed)
                .mapToInt(e -> e.sends)
                .average()
                .orElse(0);
    }

    /** Returns a quantile of the time from arrival to first event, in milliseconds. */
    double firstEventMillis(double quantile) {
        List<Long> sorted = firstEventMillis.stream().sorted().toList();
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    /** Returns the mean time from arrival to first event, in milliseconds. */
    double meanFirstEventMillis() {
        return firstEventMillis.stream().mapToLong(m -> m).average().orElse(0);
    }

    private void setLost(int domain, boolean lost) {
        IntStream.range(0, ENGINES)
                .filter(e -> e % DOMAINS == domain && e / DOMAINS % LOST_OF != 0)
                .forEach(
                        e -> {
                            engines[e].lost = lost;
                            engines[e].incarnation++;
                            engines[e].usedTokens = 0;
                            engines[e].prefillEndsAt = 0;
                            for (Host h : hosts) {
                                if (lost) {
                                    h.views.get(e).health().recordUnreachable(now);
                                } else {
                                    h.views.get(e).health().recordActivity(now);
                                }
                            }
                        });
    }

    private void arrive(double perSecond, long until) {
        long gap = (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
        if (now + gap < until) {
            after(
                    gap,
                    () -> {
                        hosts.get(random.nextInt(HOSTS)).place(now);
                        arrive(perSecond, until);
                    });
        }
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + Math.max(0, millis), scheduled++, action));
    }

    private static String domain(int number) {
        return "d" + number % DOMAINS;
    }
}
