package io.siskintrail.bench.policy;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.Quarantine;
import io.siskintrail.internal.generation.QuarantineEffect;
import io.siskintrail.internal.generation.QuarantineInput;
import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Rank;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One request kills every engine that runs it; its caller sends it again under a new key a second
 * after each failure. Every router hears of each death a hop later and judges by itself.
 */
final class Poison {
    private static final long FIRST = 20_000;
    private static final long END = 80_000;
    private static final long HOP_MILLIS = 1;
    private static final long TICK_MILLIS = 50;
    private static final long RESEND_MILLIS = 1_000;
    private static final long REVIVE_MILLIS = 20_000;
    private static final long POISON_GROUP = -7;
    private static final double LOAD = 0.6;
    private static final World.Shape SHAPE = World.Shape.AMMAN;

    private Poison() {}

    static Table run(long seed) {
        Table table = new Table("poison");
        for (Strategy s : Strategy.COMMON) {
            World world = new World(SHAPE, s, PolicyRules.DEFAULT, seed);
            Victims victims = new Victims(world, s == Strategy.OURS);
            world.callers = victims;
            world.onDeath = victims::died;
            world.load(
                    new Source("clinic", Rank.URGENT, 0, 800, 60, 2_000, END, SHAPE.routers())
                            .asking(LOAD * SHAPE.totalSlots()));
            world.at(FIRST, victims::sendPoison);
            world.run(END);
            put(table, s, world, victims);
        }
        return table;
    }

    private static void put(Table table, Strategy s, World world, Victims victims) {
        Figures f = new Figures(world, FIRST, END);
        long innocent = victims.blamed.size();
        table.row(s, "poison")
                .put("engines_lost", world.enginesKilled)
                .put("seconds_until_quarantine", victims.seconds())
                .put("innocent_refused", innocent)
                .put("poison_sends", victims.sends)
                .put("first_token_p95_ms", f.firstToken(0.95, r -> !r.poisonous))
                .put("unserved", f.unserved(r -> !r.poisonous));
        if (s == Strategy.OURS) {
            table.target("innocent requests refused 0", innocent, innocent == 0);
            table.target("quarantined in the end", victims.seconds(), victims.isQuarantined());
        }
    }

    /** Callers and the quarantine of every router. */
    private static final class Victims extends Callers {
        private final boolean detects;
        private final Map<Node, Quarantine> detectors = new HashMap<>();
        private final Map<Node, Set<Long>> quarantined = new HashMap<>();
        private final Set<Long> blamed = new HashSet<>();
        private long incarnations = 1;
        private long lastQuarantine = -1;
        private int sends;

        private Victims(World world, boolean detects) {
            super(world);
            this.detects = detects;
            for (Node n : world.nodes) {
                detectors.put(n, new Quarantine());
                quarantined.put(n, new HashSet<>());
            }
            if (detects) {
                for (Node n : world.nodes) {
                    world.every(TICK_MILLIS, () -> step(n, new QuarantineInput.Tick()));
                }
            }
        }

        private void sendPoison() {
            Node node = world.balance(SHAPE.routers());
            if (quarantined.get(node).contains(POISON_GROUP)) {
                return;
            }
            sends++;
            Request r = world.poison(POISON_GROUP);
            world.send(r, node, null, MAX_WAIT_MILLIS);
        }

        private void died(Engine engine, List<Engine.Job> jobs) {
            long incarnation = ++incarnations;
            for (Node reporter : world.nodes) {
                Set<Fingerprint> running = new HashSet<>();
                jobs.stream()
                        .filter(j -> j.call.node == reporter)
                        .forEach(j -> running.add(new Fingerprint(0, j.call.request.group)));
                if (detects && !running.isEmpty()) {
                    EndpointId id = engine.info.id();
                    world.at(
                            world.now() + HOP_MILLIS,
                            () -> step(reporter, new QuarantineInput.Died(id, running)));
                }
            }
            world.at(world.now() + REVIVE_MILLIS, () -> world.revive(engine, incarnation));
        }

        private void step(Node node, QuarantineInput input) {
            for (QuarantineEffect effect : detectors.get(node).step(world.now(), input)) {
                if (effect instanceof QuarantineEffect.Report r) {
                    tell(node, new QuarantineInput.Reported(node.id, r.endpoint(), r.running()));
                } else if (effect instanceof QuarantineEffect.Announce a) {
                    tell(node, new QuarantineInput.Announced(a.fingerprint(), a.millis()));
                } else if (effect instanceof QuarantineEffect.Quarantined q && q.on()) {
                    refuse(node, q.fingerprint().low());
                }
            }
        }

        private void tell(Node from, QuarantineInput input) {
            for (Node n : world.nodes) {
                if (n != from) {
                    world.at(world.now() + HOP_MILLIS, () -> step(n, input));
                }
            }
        }

        private void refuse(Node node, long content) {
            quarantined.get(node).add(content);
            if (content == POISON_GROUP) {
                lastQuarantine = world.now();
            } else {
                blamed.add(content);
            }
        }

        @Override
        void endpointFailed(Call call) {
            if (call.request.poisonous) {
                world.at(world.now() + RESEND_MILLIS, this::sendPoison);
                return;
            }
            super.endpointFailed(call);
        }

        private boolean isQuarantined() {
            return !detects || quarantined.values().stream().allMatch(q -> !q.isEmpty());
        }

        private double seconds() {
            return lastQuarantine < 0 ? -1 : (lastQuarantine - FIRST) / 1000.0;
        }
    }
}
