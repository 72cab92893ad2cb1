package io.siskintrail.bench.cost;

import io.siskintrail.bench.membership.GossipCluster;
import io.siskintrail.bench.membership.VirtualNetwork;
import java.lang.management.ManagementFactory;

/**
 * What the membership of one node costs, in virtual time with real encoding and decoding.
 *
 * @param hosts the nodes
 * @param endpoints the endpoints of all nodes together
 * @param cpuShare the share of a core of one node
 * @param bytes bytes sent each second by one node
 * @param messages messages sent each second by one node
 * @param heapBytes heap of one node
 */
record MembershipCost(
        int hosts,
        int endpoints,
        double cpuShare,
        double bytes,
        double messages,
        double heapBytes) {
    private static final long WARM_UP_MILLIS = 40_000;
    private static final long MEASURED_MILLIS = 20_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int WORK_PER_SECOND = 11;

    static MembershipCost measure(int hosts, int endpoints, boolean busy)
            throws InterruptedException {
        long before = Heap.usedBytes();
        VirtualNetwork net = new VirtualNetwork(1, 0);
        GossipCluster cluster = new GossipCluster(net, hosts, endpoints);
        for (int i = 0; i < hosts; i++) {
            cluster.start(i);
        }
        if (busy) {
            cluster.load(WORK_PER_SECOND);
        }
        net.runUntil(WARM_UP_MILLIS);
        long heap = Heap.usedBytes() - before;
        long bytes = net.bytes();
        long messages = net.messages();
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        net.runUntil(WARM_UP_MILLIS + MEASURED_MILLIS);
        cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
        double nodeSeconds = hosts * MEASURED_MILLIS / MILLIS_PER_SECOND;
        return new MembershipCost(
                hosts,
                endpoints,
                cpu / NANOS_PER_MILLI / MILLIS_PER_SECOND / nodeSeconds,
                (net.bytes() - bytes) / nodeSeconds,
                (net.messages() - messages) / nodeSeconds,
                (double) heap / hosts);
    }
}
