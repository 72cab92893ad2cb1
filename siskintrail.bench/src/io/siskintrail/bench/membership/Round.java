package io.siskintrail.bench.membership;

import java.util.function.IntPredicate;

/**
 * What one run showed. Times are in milliseconds until the last node knows; {@link #GIVE_UP_MILLIS}
 * stands for longer.
 *
 * @param joinMillis a new node with its endpoints, known to all, and all known to it
 * @param leaveMillis a leaving endpoint, known to all
 * @param lastWorkMillis how long after the leave or the loss some endpoint was last sent work
 * @param deadMillis a node that stopped silently, held for gone by all
 * @param rejoinMillis the same as a join, for the node that stopped
 * @param idle the cost without work
 * @param busy the cost with work
 */
record Round(
        long joinMillis,
        long leaveMillis,
        long lastWorkMillis,
        long deadMillis,
        long rejoinMillis,
        Cost idle,
        Cost busy) {
    static final long GIVE_UP_MILLIS = 120_000;

    /** 4,200 requests a second at the peak over 390 daemons. */
    private static final int WORK_PER_SECOND = 11;

    private static final long WARM_UP_MILLIS = 120_000;
    private static final long COST_MILLIS = 20_000;
    private static final long STEP_MILLIS = 20;
    private static final int SPREAD_MILLIS = 700;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * What a node sends.
     *
     * @param messages messages a second
     * @param bytes bytes a second
     */
    record Cost(double messages, double bytes) {

        Cost max(Cost other) {
            return new Cost(Math.max(messages, other.messages), Math.max(bytes, other.bytes));
        }
    }

    static Round run(VirtualNetwork net, Cluster cluster, int nodes) {
        int last = nodes - 1;
        for (int i = 0; i < last; i++) {
            int node = i;
            net.after(net.random().nextInt(SPREAD_MILLIS), () -> cluster.start(node));
        }
        net.runUntil(WARM_UP_MILLIS);
        Cost idle = cost(net, last);
        cluster.load(WORK_PER_SECOND);
        Cost busy = cost(net, last);
        cluster.start(last);
        long join = until(net, nodes, cluster::knowsAll);
        cluster.leave(1);
        long leave = until(net, nodes, cluster::knowsEnded);
        net.runUntil(net.nowMillis() + COST_MILLIS);
        cluster.stop(last);
        long dead = until(net, last, n -> cluster.holdsGone(n, last));
        net.runUntil(net.nowMillis() + COST_MILLIS);
        long work = cluster.lastWorkMillis();
        cluster.start(last);
        long rejoin = until(net, nodes, cluster::knowsAll);
        return new Round(join, leave, work, dead, rejoin, idle, busy);
    }

    Round worseOf(Round o) {
        return new Round(
                Math.max(joinMillis, o.joinMillis),
                Math.max(leaveMillis, o.leaveMillis),
                Math.max(lastWorkMillis, o.lastWorkMillis),
                Math.max(deadMillis, o.deadMillis),
                Math.max(rejoinMillis, o.rejoinMillis),
                idle.max(o.idle),
                busy.max(o.busy));
    }

    private static Cost cost(VirtualNetwork net, int nodes) {
        long messages = net.messages();
        long bytes = net.bytes();
        net.runUntil(net.nowMillis() + COST_MILLIS);
        double nodeSeconds = nodes * COST_MILLIS / MILLIS_PER_SECOND;
        return new Cost(
                (net.messages() - messages) / nodeSeconds, (net.bytes() - bytes) / nodeSeconds);
    }

    private static long until(VirtualNetwork net, int nodes, IntPredicate holds) {
        long start = net.nowMillis();
        int from = 0;
        while (net.nowMillis() - start < GIVE_UP_MILLIS) {
            while (from < nodes && holds.test(from)) {
                from++;
            }
            if (from == nodes) {
                return net.nowMillis() - start;
            }
            net.runUntil(net.nowMillis() + STEP_MILLIS);
        }
        return GIVE_UP_MILLIS;
    }
}
