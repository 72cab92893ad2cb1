package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.List;

/** Floods of bulk and of urgent work. */
final class Floods {
    private static final long WARM = 15_000;
    private static final long END = 75_000;
    private static final int ACCOUNTS = 4;
    private static final World.Shape SHAPE = World.Shape.AMMAN;
    private static final double URGENT_SHARE = 0.3;

    private Floods() {}

    static Table bulk(long seed) {
        Table table = new Table("flood-bulk");
        double calm = run(Strategy.OURS, URGENT_SHARE, 0, seed).urgentFirstToken(0.95);
        for (double factor : new double[] {4, 10}) {
            for (Strategy s : Strategy.COMMON) {
                Figures f = run(s, URGENT_SHARE, factor, seed);
                double p95 = f.urgentFirstToken(0.95);
                double useful = f.usefulShare(r -> true);
                put(table.row(s, factor + "x"), f)
                        .put("urgent_first_token_unloaded_p95_ms", calm)
                        .put("ratio", p95 / calm);
                if (s == Strategy.OURS) {
                    table.target(
                            "urgent first token p95 <= 1.2 x unloaded",
                            p95 / calm,
                            p95 <= 1.2 * calm);
                    table.target("urgent first token p95 < 1100 ms", p95, p95 < 1_100);
                    table.target("useful share >= 0.95", useful, useful >= 0.95);
                }
            }
        }
        return table;
    }

    static Table urgent(long seed) {
        Table table = new Table("flood-urgent");
        for (double factor : new double[] {4, 10}) {
            for (Strategy s : Strategy.COMMON) {
                Figures f = run(s, factor, 0.5, seed);
                double bulk = f.usefulShare(r -> r.rank == Rank.BULK);
                double least =
                        f.service().values().stream().mapToDouble(v -> v).min().orElse(0)
                                / f.capacityMillis();
                put(table.row(s, factor + "x"), f).put("least_account_share", least);
                if (s == Strategy.OURS) {
                    table.target("bulk share >= 0.10", bulk, bulk >= 0.10);
                    double fair = 0.10 / ACCOUNTS / 2;
                    table.target(
                            "each account >= half of its share of the floor", least, least >= fair);
                }
            }
        }
        return table;
    }

    private static Table put(Table row, Figures f) {
        return row.put("urgent_first_token_p50_ms", f.urgentFirstToken(0.5))
                .put("urgent_first_token_p95_ms", f.urgentFirstToken(0.95))
                .put("urgent_first_token_p99_ms", f.urgentFirstToken(0.99))
                .put("urgent_unserved", f.unserved(r -> r.rank == Rank.URGENT))
                .put("urgent_arrived", f.arrived(r -> r.rank == Rank.URGENT))
                .put("useful_share", f.usefulShare(r -> true))
                .put("urgent_share", f.usefulShare(r -> r.rank == Rank.URGENT))
                .put("bulk_share", f.usefulShare(r -> r.rank == Rank.BULK))
                .put("wasted_share", f.wastedShare())
                .put("suspensions", f.suspensions())
                .put("refused", f.refusals())
                .put("longest_over_slots_ms", f.longestOverMillis());
    }

    /** Runs urgent and bulk work that ask for the given multiples of all slots. */
    static Figures run(Strategy strategy, double urgent, double bulk, long seed) {
        World world = new World(SHAPE, strategy, PolicyRules.DEFAULT, seed);
        double slots = SHAPE.totalSlots() / (double) ACCOUNTS;
        List<Source> sources = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            sources.add(source("clinic-" + i, Rank.URGENT, 800, 60, urgent * slots));
            sources.add(source("school-" + i, Rank.BULK, 2_000, 400, bulk * slots));
        }
        sources.stream().filter(s -> s.perSecond() > 0).forEach(world::load);
        world.run(END);
        return new Figures(world, WARM, END);
    }

    private static Source source(String name, Rank rank, int prompt, int output, double slots) {
        return new Source(name, rank, 0, prompt, output, 2_000, END, SHAPE.routers()).asking(slots);
    }
}
