package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.internal.policy.PolicyMessage;
import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Losses of engines, of a router, and of the messages between routers. */
final class Losses {
    private static final long LOSS = 40_000;
    private static final long BACK = 70_000;
    private static final long END = 100_000;
    private static final long HOLD_AGAIN_MILLIS = 5_000;
    private static final long DETECT_MILLIS = 1_500;
    private static final long MAX_OVER_MILLIS = 2_000;
    private static final int ACCOUNTS = 4;
    private static final World.Shape SHAPE = World.Shape.AMMAN;

    private Losses() {}

    static Table engines(long seed) {
        Table table = new Table("engine-loss");
        int domain = (SHAPE.engines() + 2) / 3;
        for (int lost : new int[] {1, domain}) {
            for (Strategy s : Strategy.COMMON) {
                World world = loaded(s, 0.4, 0.4, seed);
                List<Engine> victims = victims(world, lost);
                world.at(LOSS, () -> victims.forEach(world::kill));
                world.at(BACK, () -> victims.forEach(e -> world.revive(e, 2)));
                world.run(END);
                report(table, s, lost, world);
            }
        }
        return table;
    }

    private static List<Engine> victims(World world, int count) {
        List<Engine> all = new ArrayList<>(world.engines.values());
        if (count == 1) {
            return all.subList(0, 1);
        }
        List<Engine> domain = new ArrayList<>();
        for (int i = 0; i < all.size(); i += 3) {
            domain.add(all.get(i));
        }
        return domain;
    }

    private static void report(Table table, Strategy s, int lost, World world) {
        double calm = new Figures(world, 10_000, LOSS).urgentFirstToken(0.95);
        Figures during = new Figures(world, LOSS, LOSS + HOLD_AGAIN_MILLIS);
        Figures after = new Figures(world, LOSS + HOLD_AGAIN_MILLIS, BACK);
        Figures back = new Figures(world, BACK, END);
        double p95 = after.urgentFirstToken(0.95);
        table.row(s, lost + "-lost")
                .put("urgent_first_token_before_p95_ms", calm)
                .put("urgent_first_token_first_5s_p95_ms", during.urgentFirstToken(0.95))
                .put("urgent_first_token_after_5s_p95_ms", p95)
                .put("urgent_first_token_after_return_p95_ms", back.urgentFirstToken(0.95))
                .put("urgent_unserved", after.unserved(r -> r.rank == Rank.URGENT))
                .put("resume_p95_ms", world.resumeMillis(0.95))
                .put("resumed", world.resumed())
                .put("extra_use_share", after.wastedShare() + during.wastedShare())
                .put("useful_share_after", after.usefulShare(r -> true));
        if (s == Strategy.OURS) {
            table.target(
                    "urgent p95 <= 1.2 x that before, 5 s after the loss",
                    p95 / calm,
                    p95 <= 1.2 * calm);
            table.target("urgent p95 < 1100 ms, 5 s after the loss", p95, p95 < 1_100);
        }
    }

    static Table router(long seed) {
        Table table = new Table("router-loss");
        for (Strategy s : Strategy.COMMON) {
            World world = loaded(s, 0.3, 2, seed);
            world.at(LOSS, () -> killRouter(world, world.nodes.get(0), s));
            SlotWatch watch = new SlotWatch(world);
            world.run(END);
            put(table, s, "router", world, watch);
        }
        return table;
    }

    static Table partition(long seed) {
        Table table = new Table("usage-exchange-partition");
        for (Strategy s : Strategy.COMMON) {
            World world = loaded(s, 0.3, 2, seed);
            world.at(LOSS, () -> world.lost = m -> m instanceof PolicyMessage.Usage);
            world.at(BACK, () -> world.lost = m -> false);
            SlotWatch watch = new SlotWatch(world);
            world.run(END);
            put(table, s, "usage-lost", world, watch);
        }
        for (Strategy s : Strategy.COMMON) {
            World world = loaded(s, 0.3, 2, seed);
            world.at(LOSS, () -> split(world, s));
            world.at(BACK, () -> heal(world, s));
            SlotWatch watch = new SlotWatch(world);
            world.run(END);
            put(table, s, "split-5-2", world, watch);
        }
        return table;
    }

    private static void put(Table table, Strategy s, String variant, World world, SlotWatch watch) {
        Figures during = new Figures(world, LOSS, BACK);
        double jainUrgent = jain(during, "clinic");
        double jainBulk = jain(during, "school");
        table.row(s, variant)
                .put("slots_back_ms", watch.backAfterMillis())
                .put("longest_over_slots_ms", during.longestOverMillis())
                .put("most_over_slots", watch.mostOver)
                .put("useful_share", during.usefulShare(r -> true))
                .put("fairness_error_urgent", 1 - jainUrgent)
                .put("fairness_error_bulk", 1 - jainBulk)
                .put("urgent_first_token_p95_ms", during.urgentFirstToken(0.95))
                .put("urgent_unserved", during.unserved(r -> r.rank == Rank.URGENT));
        if (s == Strategy.OURS) {
            table.target(
                    "no endpoint over its slots for more than 2 s",
                    during.longestOverMillis(),
                    during.longestOverMillis() <= MAX_OVER_MILLIS);
            table.target(
                    "slots in use again within 5 s",
                    watch.backAfterMillis(),
                    watch.backAfterMillis() <= HOLD_AGAIN_MILLIS);
        }
    }

    private static double jain(Figures f, String prefix) {
        return Figures.jain(
                f.service().entrySet().stream()
                        .filter(e -> e.getKey().startsWith(prefix))
                        .mapToDouble(Map.Entry::getValue)
                        .toArray());
    }

    private static World loaded(Strategy s, double urgent, double bulk, long seed) {
        World world = new World(SHAPE, s, PolicyRules.DEFAULT, seed);
        double slots = SHAPE.totalSlots() / (double) ACCOUNTS;
        for (int i = 0; i < ACCOUNTS; i++) {
            world.load(source("clinic-" + i, Rank.URGENT, 800, 60, urgent * slots));
            world.load(source("school-" + i, Rank.BULK, 2_000, 400, bulk * slots));
        }
        return world;
    }

    private static Source source(String name, Rank rank, int prompt, int output, double slots) {
        return new Source(name, rank, 0, prompt, output, 2_000, END, SHAPE.routers()).asking(slots);
    }

    private static void killRouter(World world, Node node, Strategy s) {
        node.up = false;
        new ArrayList<>(node.calls.values()).forEach(world::disconnect);
        Set<HostId> live = new TreeSet<>();
        world.nodes.stream().filter(n -> n.up).forEach(n -> live.add(n.id));
        world.at(world.now() + DETECT_MILLIS, () -> tell(world, live, true, s));
    }

    private static void split(World world, Strategy s) {
        Set<HostId> minority = new TreeSet<>();
        minority.add(world.nodes.get(0).id);
        minority.add(world.nodes.get(1).id);
        Set<HostId> majority = new TreeSet<>();
        world.nodes.stream()
                .map(n -> n.id)
                .filter(id -> !minority.contains(id))
                .forEach(majority::add);
        world.cut = (a, b) -> minority.contains(a) != minority.contains(b);
        world.at(
                world.now() + DETECT_MILLIS,
                () -> {
                    tell(world, majority, true, s);
                    tell(world, minority, false, s);
                });
    }

    private static void heal(World world, Strategy s) {
        world.cut = (a, b) -> false;
        Set<HostId> all = new TreeSet<>();
        world.nodes.forEach(n -> all.add(n.id));
        world.at(world.now() + DETECT_MILLIS, () -> tell(world, all, true, s));
    }

    private static void tell(World world, Set<HostId> side, boolean quorate, Strategy s) {
        if (s.isAlone()) {
            return;
        }
        for (Node n : world.nodes) {
            if (side.contains(n.id)) {
                world.feed(n, new PolicyInput.Peers(side, quorate));
            }
        }
    }

    /** Watches when the slots are in use after the loss as they were before it. */
    private static final class SlotWatch {
        private static final double FULL = 0.95;
        private static final long BEFORE_MILLIS = 10_000;
        private static final long STEP_MILLIS = 20;

        private final World world;
        private final ArrayDeque<Long> notFull = new ArrayDeque<>();
        private int mostOver;
        private double before;
        private int samples;

        private SlotWatch(World world) {
            this.world = world;
            world.every(STEP_MILLIS, this::look);
        }

        private void look() {
            int used = 0;
            for (Engine e : world.engines.values()) {
                used += e.running.size();
                mostOver = Math.max(mostOver, e.load() - e.info.slots());
            }
            if (world.now() >= LOSS - BEFORE_MILLIS && world.now() < LOSS) {
                samples++;
                before += (used - before) / samples;
            }
            boolean watching = world.now() >= LOSS && world.now() < BACK;
            if (watching && used < FULL * before) {
                notFull.addLast(world.now());
            }
        }

        /** Returns when the slots were in use for a second on end, counted from the loss. */
        private long backAfterMillis() {
            long candidate = LOSS;
            for (long t : notFull) {
                if (t - candidate >= 1_000) {
                    break;
                }
                candidate = t;
            }
            return candidate - LOSS;
        }
    }
}
