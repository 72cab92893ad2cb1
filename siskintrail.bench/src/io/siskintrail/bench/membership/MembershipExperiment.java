package io.siskintrail.bench.membership;

import io.siskintrail.bench.Experiment;
import java.util.Locale;

/**
 * Measures in virtual time how long it takes until every node knows of a join, a leave, a loss and
 * a rejoin, and what the gossip costs, for the membership and for the baseline. Arguments: {@code
 * [--seed N] [--loss SHARE] [--rounds N] [--largest NODES]}.
 */
public final class MembershipExperiment implements Experiment {
    private static final int[][] SIZES = {{7, 28}, {50, 100}, {400, 760}};

    private long seed = 1;
    private double loss = 0.01;
    private int rounds = 3;
    private int largest = Integer.MAX_VALUE;

    @Override
    public int run(String[] args) {
        for (int i = 0; i + 1 < args.length; i += 2) {
            switch (args[i]) {
                case "--seed" -> seed = Long.parseLong(args[i + 1]);
                case "--loss" -> loss = Double.parseDouble(args[i + 1]);
                case "--rounds" -> rounds = Integer.parseInt(args[i + 1]);
                case "--largest" -> largest = Integer.parseInt(args[i + 1]);
                default -> throw new IllegalArgumentException("unknown argument " + args[i]);
            }
        }
        for (int[] size : SIZES) {
            if (size[0] <= largest) {
                report("membership", size, net -> new GossipCluster(net, size[0], size[1]));
                report("own-address", size, net -> new AddressGossipCluster(net, size[0], size[1]));
            }
        }
        return 0;
    }

    /** Makes a cluster on a network. */
    private interface Factory {
        Cluster make(VirtualNetwork net);
    }

    private void report(String name, int[] size, Factory factory) {
        Round worst = null;
        for (int i = 0; i < rounds; i++) {
            VirtualNetwork net = new VirtualNetwork(seed + i, loss);
            Round round = Round.run(net, factory.make(net), size[0]);
            worst = worst == null ? round : worst.worseOf(round);
        }
        System.out.printf(
                Locale.ROOT,
                "way=%s nodes=%d endpoints=%d loss=%.2f rounds=%d join_ms=%d leave_ms=%d"
                        + " last_work_ms=%d dead_ms=%d rejoin_ms=%d idle_messages_per_s=%.1f"
                        + " idle_bytes_per_s=%.0f busy_messages_per_s=%.1f"
                        + " busy_bytes_per_s=%.0f%n",
                name,
                size[0],
                size[1],
                loss,
                rounds,
                worst.joinMillis(),
                worst.leaveMillis(),
                worst.lastWorkMillis(),
                worst.deadMillis(),
                worst.rejoinMillis(),
                worst.idle().messages(),
                worst.idle().bytes(),
                worst.busy().messages(),
                worst.busy().bytes());
    }
}
