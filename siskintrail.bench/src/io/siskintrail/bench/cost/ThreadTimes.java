package io.siskintrail.bench.cost;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Processor time of the threads of this process, by the beginning of their names. */
final class ThreadTimes {
    /** The control thread of a router, and the threads and pools of the peer transport. */
    static final List<String> ROUTER_CONTROL =
            List.of("router-control", "peer-", "pool-", "Thread-");

    private final Map<Long, Long> start = new HashMap<>();

    ThreadTimes() {
        forEach((info, nanos) -> start.put(info.getThreadId(), nanos));
    }

    /** Returns the nanoseconds since the construction of the threads with one of the prefixes. */
    long nanosOf(List<String> prefixes) {
        long[] sum = new long[1];
        forEach(
                (info, nanos) -> {
                    if (prefixes.stream().anyMatch(info.getThreadName()::startsWith)) {
                        sum[0] += nanos - start.getOrDefault(info.getThreadId(), 0L);
                    }
                });
        return sum[0];
    }

    /** Returns the nanoseconds since the construction by name, without the numbers in it. */
    Map<String, Long> nanosByName() {
        Map<String, Long> sums = new TreeMap<>();
        forEach(
                (info, nanos) ->
                        sums.merge(
                                info.getThreadName().replaceAll("[0-9]+", "N"),
                                nanos - start.getOrDefault(info.getThreadId(), 0L),
                                Long::sum));
        return sums;
    }

    private interface Visitor {
        void visit(ThreadInfo info, long nanos);
    }

    private static void forEach(Visitor visitor) {
        ThreadMXBean bean = ManagementFactory.getThreadMXBean();
        for (ThreadInfo info : bean.getThreadInfo(bean.getAllThreadIds())) {
            long nanos = info == null ? -1 : bean.getThreadCpuTime(info.getThreadId());
            if (nanos >= 0) {
                visitor.visit(info, nanos);
            }
        }
    }
}
