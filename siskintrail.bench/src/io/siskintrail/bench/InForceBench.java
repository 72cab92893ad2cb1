package io.siskintrail.bench;

import io.siskintrail.bench.inforce.InForceScenarios;

/**
 * Compares three ways to know that rules are current: {@code siskintrail-bench in-force
 * [HOSTS...]}.
 */
final class InForceBench implements Experiment {
    private static final int[] DEFAULT_HOSTS = {7, 50, 390};

    @Override
    public int run(String[] args) {
        int[] sizes = DEFAULT_HOSTS;
        if (args.length > 0) {
            sizes = java.util.Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
        }
        for (int hosts : sizes) {
            new InForceScenarios(hosts).print(System.out);
        }
        return 0;
    }
}
