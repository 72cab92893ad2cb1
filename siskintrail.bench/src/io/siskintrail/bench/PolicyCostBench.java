package io.siskintrail.bench;

import io.siskintrail.bench.policy.DecisionCost;
import java.util.Collection;
import java.util.Locale;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Measures time and allocation of the decisions of the policy with JMH: {@code policy-cost}. */
public final class PolicyCostBench implements Experiment {
    private static final String ALLOCATION = "gc.alloc.rate.norm";

    @Override
    public int run(String[] args) throws Exception {
        Options options =
                new OptionsBuilder()
                        .include(DecisionCost.class.getName())
                        .addProfiler(GCProfiler.class)
                        .verbosity(VerboseMode.SILENT)
                        .build();
        Collection<RunResult> results = new Runner(options).run();
        results.forEach(PolicyCostBench::print);
        return 0;
    }

    private static void print(RunResult result) {
        String name = result.getParams().getBenchmark();
        double bytes =
                result.getSecondaryResults().entrySet().stream()
                        .filter(e -> e.getKey().contains(ALLOCATION))
                        .map(e -> (Result<?>) e.getValue())
                        .mapToDouble(Result::getScore)
                        .findFirst()
                        .orElse(Double.NaN);
        System.out.printf(
                Locale.ROOT,
                "decision=%s endpoints=%s accounts=%s micros=%.2f bytes=%.0f%n",
                name.substring(name.lastIndexOf('.') + 1),
                result.getParams().getParam("endpoints"),
                result.getParams().getParam("accounts"),
                result.getPrimaryResult().getScore(),
                bytes);
    }
}
