package io.siskintrail.bench.cost;

import java.lang.management.ManagementFactory;

/** Measures the heap that is in use after collections. */
final class Heap {
    private static final int COLLECTIONS = 4;
    private static final long PAUSE_MILLIS = 150;

    private Heap() {}

    static long usedBytes() throws InterruptedException {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            Thread.sleep(PAUSE_MILLIS);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
