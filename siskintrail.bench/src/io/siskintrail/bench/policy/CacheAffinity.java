package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.lib.Rank;
import java.util.Arrays;
import java.util.List;

/**
 * Questions about 200 documents of unequal popularity, at 60% load, while the engines together can
 * cache 260 and each one 20. Cache events come 200 ms late and some of them not at all.
 */
final class CacheAffinity {
    private static final long END = 120_000;
    private static final int DOCUMENTS = 200;
    private static final int DOCUMENT_BLOCKS = 24;
    private static final int QUESTION_TOKENS = 100;
    private static final int ANSWER_TOKENS = 60;
    private static final double LOAD = 0.6;

    private CacheAffinity() {}

    static Table run(long seed) {
        Table table = new Table("cache");
        for (double loss : new double[] {0, 0.05, 0.3}) {
            for (Strategy s : List.of(Strategy.OURS, Strategy.ROUND_ROBIN, Strategy.ORACLE)) {
                World world = world(s, loss, seed);
                Figures f = new Figures(world, 10_000, END);
                long prompt = 0;
                long computed = 0;
                for (Engine e : world.engines.values()) {
                    prompt += e.promptTokens;
                    computed += e.computedPromptTokens;
                }
                table.row(s, "loss-" + Math.round(loss * 100))
                        .put("hit_rate", 1 - (double) computed / prompt)
                        .put("computed_prompt_tokens", computed)
                        .put("prompt_tokens", prompt)
                        .put("first_token_p50_ms", f.urgentFirstToken(0.5))
                        .put("first_token_p95_ms", f.urgentFirstToken(0.95));
            }
        }
        return table;
    }

    private static World world(Strategy s, double loss, long seed) {
        int blocks = (DOCUMENTS / 10) * DOCUMENT_BLOCKS;
        World.Shape shape = new World.Shape(7, 13, 8, blocks, loss);
        World world = new World(shape, s, PolicyRules.DEFAULT, seed);
        world.callers = new Readers(world);
        int prompt = DOCUMENT_BLOCKS * Engine.BLOCK_TOKENS + QUESTION_TOKENS;
        world.load(
                new Source("clinic", Rank.URGENT, 0, prompt, ANSWER_TOKENS, 2_000, END, 7)
                        .asking(LOAD * shape.totalSlots()));
        world.run(END);
        return world;
    }

    /** Callers who each ask about one document, drawn by Zipf's law. */
    private static final class Readers extends Callers {
        private final double[] cumulative = new double[DOCUMENTS];

        private Readers(World world) {
            super(world);
            double sum = 0;
            for (int i = 0; i < DOCUMENTS; i++) {
                sum += 1.0 / (i + 1);
                cumulative[i] = sum;
            }
        }

        @Override
        void arrived(Request plain, Source source) {
            double draw = world.random.nextDouble() * cumulative[DOCUMENTS - 1];
            int found = Arrays.binarySearch(cumulative, draw);
            long document = found >= 0 ? found : -found - 1;
            long[] prefix = new long[DOCUMENT_BLOCKS];
            for (int i = 0; i < prefix.length; i++) {
                prefix[i] = document * DOCUMENT_BLOCKS + i + 1;
            }
            Request r =
                    new Request(
                            plain.id,
                            plain.group,
                            plain.account,
                            plain.rank,
                            DOCUMENT_BLOCKS * Engine.BLOCK_TOKENS + QUESTION_TOKENS,
                            plain.outputTokens,
                            prefix,
                            plain.arrivedAt);
            world.requests.set(world.requests.size() - 1, r);
            super.arrived(r, source);
        }
    }
}
