package io.siskintrail.bench;

import io.siskintrail.bench.cost.ControlCostExperiment;
import io.siskintrail.bench.ledger.LedgerExperiment;
import io.siskintrail.bench.membership.MembershipExperiment;
import io.siskintrail.bench.orders.LedgerFaultsExperiment;
import io.siskintrail.service.LogSetup;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Runs the experiment that the first argument names. */
public final class Main {
    private static final int EXIT_USAGE = 2;
    private static final Map<String, Supplier<Experiment>> EXPERIMENTS = new TreeMap<>();

    static {
        EXPERIMENTS.put("control-cost", ControlCostExperiment::new);
        EXPERIMENTS.put("in-force", InForceBench::new);
        EXPERIMENTS.put("ledger", LedgerExperiment::new);
        EXPERIMENTS.put("policy", PolicyBench::new);
        EXPERIMENTS.put("policy-cost", PolicyCostBench::new);
        EXPERIMENTS.put("ledger-faults", LedgerFaultsExperiment::new);
        EXPERIMENTS.put("membership", MembershipExperiment::new);
        EXPERIMENTS.put("promises", PromisesExperiment::new);
        EXPERIMENTS.put("rules", RulesBench::new);
        EXPERIMENTS.put("path", PathBench::new);
        EXPERIMENTS.put("path-faults", PathFaultsBench::new);
        EXPERIMENTS.put("resume", ResumeBench::new);
        EXPERIMENTS.put("slopes", SlopesExperiment::new);
        EXPERIMENTS.put("quickstart", QuickstartExperiment::new);
    }

    private Main() {}

    /** Runs {@code siskintrail-bench NAME ARGS}. */
    public static void main(String[] args) throws Exception {
        LogSetup.install();
        Supplier<Experiment> experiment = args.length == 0 ? null : EXPERIMENTS.get(args[0]);
        if (experiment == null) {
            System.err.println(
                    "usage: siskintrail-bench NAME [ARGS]; names: " + EXPERIMENTS.keySet());
            System.exit(EXIT_USAGE);
            return;
        }
        System.exit(experiment.get().run(Arrays.copyOfRange(args, 1, args.length)));
    }
}
