package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.AccountPolicy;
import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One account asks 20 times what all others ask together, its requests five times as long, at two
 * of the routers only. Runs once with small accounts that stay below their share, once with three
 * of them above it.
 */
final class BigCaller {
    private static final long WARM = 60_000;
    private static final long END = 240_000;
    private static final World.Shape SHAPE = World.Shape.AMMAN;
    private static final String BIG = "big";
    private static final int SMALL = 9;
    private static final int GREEDY = 3;
    private static final double BIG_FACTOR = 20;
    private static final int BIG_ROUTERS = 2;
    private static final double DOUBLE_WEIGHT = 2;

    private BigCaller() {}

    static Table run(long seed) {
        Table table = new Table("big-caller");
        for (Rank rank : Rank.values()) {
            modest(table, rank, seed);
            greedy(table, rank, seed);
        }
        return table;
    }

    /** Small accounts ask 6% of the slots each, less than their share. */
    private static void modest(Table table, Rank rank, long seed) {
        double[] small = new double[SMALL];
        Arrays.fill(small, 0.06);
        double calm = p95(figures(Strategy.OURS, rank, small, 0, seed));
        for (Strategy s : Strategy.COMMON) {
            Figures f = figures(s, rank, small, BIG_FACTOR, seed);
            put(table, s, "modest-" + rank, f).put("small_p95_without_big_ms", calm);
            if (s == Strategy.OURS) {
                table.target(
                        "small first token p95 <= 1.5 x that without the big one",
                        p95(f) / calm,
                        p95(f) <= 1.5 * calm);
                checkShares(table, f);
            }
        }
    }

    /** Three small accounts ask 20% of the slots each, more than their share. */
    private static void greedy(Table table, Rank rank, long seed) {
        double[] small = new double[SMALL];
        for (int i = 0; i < SMALL; i++) {
            small[i] = i < GREEDY ? 0.3 : 0.04;
        }
        for (Strategy s : Strategy.COMMON) {
            Figures f = figures(s, rank, small, BIG_FACTOR, seed);
            put(table, s, "greedy-" + rank, f);
            if (s == Strategy.OURS) {
                table.target("Jain index of backlogged >= 0.95", jain(f), jain(f) >= 0.95);
                checkShares(table, f);
            }
        }
    }

    private static void checkShares(Table table, Figures f) {
        table.target("small accounts >= 0.95 of max-min", leastShare(f), leastShare(f) >= 0.95);
    }

    private static Table put(Table table, Strategy s, String variant, Figures f) {
        return table.row(s, variant)
                .put("least_small_of_max_min", leastShare(f))
                .put("jain_backlogged", jain(f))
                .put("small_first_token_p95_ms", p95(f))
                .put("small_unserved", f.unserved(r -> !isBig(r)))
                .put("useful_share", f.usefulShare(r -> true))
                .put("big_share", f.usefulShare(BigCaller::isBig))
                .put("wasted_share", f.wastedShare())
                .put("suspensions", f.suspensions());
    }

    private static boolean isBig(Request r) {
        return r.account.value().equals(BIG);
    }

    private static double p95(Figures f) {
        return f.firstToken(0.95, r -> !isBig(r));
    }

    private static Map<String, Double> weights() {
        return Map.of("small-0", DOUBLE_WEIGHT);
    }

    private static double leastShare(Figures f) {
        Map<String, Double> fair = Figures.maxMin(f.demand(), weights(), f.capacityMillis());
        Map<String, Double> got = f.service();
        return fair.entrySet().stream()
                .filter(e -> !e.getKey().equals(BIG))
                .mapToDouble(e -> got.get(e.getKey()) / e.getValue())
                .min()
                .orElse(1);
    }

    private static double jain(Figures f) {
        Map<String, Double> demand = f.demand();
        Map<String, Double> fair = Figures.maxMin(demand, weights(), f.capacityMillis());
        Map<String, Double> got = new TreeMap<>(f.service());
        got.keySet().removeIf(a -> !(demand.getOrDefault(a, 0.0) > fair.getOrDefault(a, 0.0)));
        return Figures.jain(
                got.entrySet().stream()
                        .mapToDouble(e -> e.getValue() / Figures.weight(weights(), e.getKey()))
                        .toArray());
    }

    private static Figures figures(
            Strategy s, Rank rank, double[] small, double bigFactor, long seed) {
        World world = new World(SHAPE, s, rules(), seed);
        int prompt = rank == Rank.URGENT ? 800 : 2_000;
        int output = rank == Rank.URGENT ? 60 : 200;
        List<Source> sources = new ArrayList<>();
        double all = 0;
        for (int i = 0; i < small.length; i++) {
            double slots = small[i] * SHAPE.totalSlots();
            all += slots;
            sources.add(source("small-" + i, rank, prompt, output, SHAPE.routers(), slots));
        }
        if (bigFactor > 0) {
            double slots = bigFactor * all;
            sources.add(source(BIG, rank, 5 * prompt, 5 * output, BIG_ROUTERS, slots));
        }
        sources.forEach(world::load);
        world.run(END);
        return new Figures(world, WARM, END);
    }

    private static PolicyRules rules() {
        Map<AccountId, AccountPolicy> accounts = new HashMap<>();
        weights()
                .forEach(
                        (a, w) ->
                                accounts.put(
                                        new AccountId(a), AccountPolicy.DEFAULT.withWeight(w)));
        return PolicyRules.DEFAULT.withAccounts(accounts);
    }

    private static Source source(
            String name, Rank rank, int prompt, int output, int routers, double slots) {
        return new Source(name, rank, 0, prompt, output, 2_000, END, routers).asking(slots);
    }
}
