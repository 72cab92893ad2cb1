package io.siskintrail.bench.inforce;

import io.siskintrail.internal.control.ConfigurationCommand;
import java.io.PrintStream;

/** Runs the faults that tell the strategies apart, and prints one line for each strategy. */
public final class InForceScenarios {
    private static final long WARM_UP_MILLIS = 6_000;
    private static final long MEASURE_MILLIS = 10_000;
    private static final long ISOLATION_MILLIS = 60_000;
    private static final long STEP_MILLIS = 10;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final int hosts;

    /** Sets the number of hosts. */
    public InForceScenarios(int hosts) {
        this.hosts = hosts;
    }

    /** Runs all scenarios and prints the figures. */
    public void print(PrintStream out) {
        for (Strategy strategy : Strategy.values()) {
            out.printf(
                    "bench=in-force hosts=%d strategy=%s %s %s %s%n",
                    hosts, strategy, quiet(strategy), controlLost(strategy), isolated(strategy));
        }
    }

    private Deployment warm(Strategy strategy) {
        Deployment deployment = new Deployment(hosts, strategy);
        deployment.run(WARM_UP_MILLIS);
        return deployment;
    }

    private String quiet(Strategy strategy) {
        Deployment deployment = warm(strategy);
        return "quiet_" + traffic(deployment);
    }

    private String traffic(Deployment deployment) {
        long messages = deployment.messages();
        long bytes = deployment.bytes();
        deployment.run(MEASURE_MILLIS);
        double hostSeconds = hosts * (MEASURE_MILLIS / MILLIS_PER_SECOND);
        return "msgs_s_host=%.1f bytes_s_host=%.0f"
                .formatted(
                        (deployment.messages() - messages) / hostSeconds,
                        (deployment.bytes() - bytes) / hostSeconds);
    }

    private String controlLost(Strategy strategy) {
        Deployment deployment = warm(strategy);
        deployment.stopControl();
        deployment.run(WARM_UP_MILLIS);
        String traffic = traffic(deployment);
        double share = (double) deployment.taking() / hosts;
        return "control_lost_serving=%.2f control_lost_%s".formatted(share, traffic);
    }

    private String isolated(Strategy strategy) {
        Deployment deployment = warm(strategy);
        deployment.isolate(0);
        long version = deployment.commit(new ConfigurationCommand.ApplyRules(0, "x", "bench"));
        long accepted = -1;
        long stale = 0;
        for (long t = 0; t < ISOLATION_MILLIS; t += STEP_MILLIS) {
            deployment.run(STEP_MILLIS);
            if (accepted < 0 && deployment.inForceVersion() >= version) {
                accepted = t + STEP_MILLIS;
            }
            if (accepted >= 0 && deployment.takesWork(0) && deployment.applied(0) < version) {
                stale += STEP_MILLIS;
            }
        }
        return "accept_ms=%d isolated_stale_ms=%d".formatted(accepted, stale);
    }
}
