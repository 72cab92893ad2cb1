package io.siskintrail.bench;

import io.siskintrail.bench.promises.PromisesRun;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs the deployment of docs/operations/amman in processes under faults: {@code siskintrail-bench
 * promises [SEED] [--few]}. Prints a line for each promise; the exit status is 1 when one is
 * breached.
 */
final class PromisesExperiment implements Experiment {
    private static final long DEFAULT_SEED = 1;
    private static final int NETWORKS = 100;
    private static final int FIRST_NETWORK = 100;

    @Override
    public int run(String[] args) throws Exception {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        boolean full = args.length < 2 || !args[1].equals("--few");
        Path work = Files.createTempDirectory("promises");
        String network = "127." + (FIRST_NETWORK + ProcessHandle.current().pid() % NETWORKS);
        System.out.println("work=" + work + " network=" + network + " seed=" + seed);
        Path docs = Path.of("docs", "operations");
        List<String> lines =
                PromisesRun.run(
                        docs.resolve("amman"),
                        docs.resolve("amman.rules"),
                        work,
                        network,
                        seed,
                        full);
        lines.forEach(System.out::println);
        return lines.stream().anyMatch(l -> l.contains("result=breached")) ? 1 : 0;
    }
}
