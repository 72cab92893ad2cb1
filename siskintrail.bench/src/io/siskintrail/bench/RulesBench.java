package io.siskintrail.bench;

import io.siskintrail.bench.rules.RulesRun;

/**
 * Applies edits to seven hosts with restarts and an isolated host: {@code siskintrail-bench rules
 * [EDITS [SEED]]}.
 */
final class RulesBench implements Experiment {
    private static final int DEFAULT_EDITS = 300;

    @Override
    public int run(String[] args) throws Exception {
        int edits = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_EDITS;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        try (TemporaryFolder folder = TemporaryFolder.create("siskintrail-rules")) {
            System.out.println(new RulesRun(folder.path(), edits, seed).run());
        }
        return 0;
    }
}
