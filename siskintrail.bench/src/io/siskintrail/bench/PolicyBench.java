package io.siskintrail.bench;

import io.siskintrail.bench.policy.Scenario;
import io.siskintrail.bench.policy.Table;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Measures the policy under load against its baselines: {@code policy SCENARIO [--seed N]}. The
 * same seed gives the same figures. Prints key=value lines, CSV, and each missed target.
 */
public final class PolicyBench implements Experiment {
    private static final int OK = 0;
    private static final int TARGET_MISSED = 1;
    private static final int BAD_ARGUMENTS = 2;
    private static final String DEFAULT_SEED = "1";

    private final PrintStream out = System.out;

    /**
     * Runs one scenario, or all of them in turn.
     *
     * @param args the name of a scenario or {@code all}, and options
     * @return 0 when every target was met, 1 when one was missed, 2 for bad arguments
     */
    @Override
    public int run(String[] args) {
        Options options = new Options().addOption(null, "seed", true, "seed of the arrivals");
        CommandLine line;
        long seed;
        try {
            line = new DefaultParser().parse(options, args);
            seed = Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED));
        } catch (ParseException | NumberFormatException e) {
            return usage(e.getMessage());
        }
        if (line.getArgList().size() != 1) {
            return usage("one scenario is needed");
        }
        String name = line.getArgList().get(0);
        Scenario one = Scenario.of(name);
        if (one == null && !name.equals("all")) {
            return usage("scenario %s does not exist".formatted(name));
        }
        List<Scenario> scenarios = one == null ? Arrays.asList(Scenario.values()) : List.of(one);
        int code = OK;
        for (Scenario s : scenarios) {
            code = Math.max(code, print(s, seed));
        }
        return code;
    }

    private int print(Scenario scenario, long seed) {
        Table table = scenario.run(seed);
        table.keyValues().forEach(l -> out.println("seed=" + seed + " " + l));
        table.csv().forEach(out::println);
        table.missed().forEach(l -> out.println("missed seed=" + seed + " " + l));
        return table.missed().isEmpty() ? OK : TARGET_MISSED;
    }

    private int usage(String problem) {
        out.println("policy: " + problem);
        out.println("usage: policy SCENARIO [--seed N]");
        out.println("scenarios: all");
        Arrays.stream(Scenario.values()).forEach(s -> out.println("  " + s.text()));
        return BAD_ARGUMENTS;
    }
}
