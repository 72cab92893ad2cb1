package io.siskintrail.bench.ledger;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Keeps a number of orders in flight and measures them. */
final class OrderLoad {
    private static final long MAX_MICROS = 60_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1e3;

    private final LedgerClient client;
    private final int concurrency;
    private final long durationNanos;
    private final AtomicLong next;
    private final AtomicLong failed = new AtomicLong();
    private final Histogram before = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Histogram whole = new ConcurrentHistogram(MAX_MICROS, 3);
    private CountDownLatch ended;
    private long begin;
    private long end;
    private long lastOrder = Long.MAX_VALUE;

    OrderLoad(LedgerClient client, long firstOrder, int concurrency, long durationNanos) {
        this.client = client;
        this.next = new AtomicLong(firstOrder);
        this.concurrency = concurrency;
        this.durationNanos = durationNanos;
    }

    /** Runs for the duration. */
    void run() throws InterruptedException {
        begin = System.nanoTime();
        ended = new CountDownLatch(concurrency);
        for (int i = 0; i < concurrency; i++) {
            placeNext();
        }
        ended.await();
        end = System.nanoTime();
    }

    /** Runs for a number of orders. */
    void runOrders(long count) throws InterruptedException {
        lastOrder = next.get() + count;
        run();
    }

    long nextOrder() {
        return next.get();
    }

    String figures() {
        double seconds = (end - begin) / NANOS_PER_SECOND;
        return "orders_per_s=%.0f before_call_p50_ms=%.2f before_call_p99_ms=%.2f"
                        .formatted(
                                whole.getTotalCount() / seconds,
                                millis(before, 50),
                                millis(before, 99))
                + " order_p50_ms=%.2f order_p99_ms=%.2f failed=%d"
                        .formatted(millis(whole, 50), millis(whole, 99), failed.get());
    }

    private void placeNext() {
        long started = System.nanoTime();
        long number = next.getAndIncrement();
        if (number >= lastOrder
                || durationNanos != Long.MAX_VALUE
                        && lastOrder == Long.MAX_VALUE
                        && started - begin >= durationNanos) {
            ended.countDown();
            return;
        }
        client.beforeCall(number)
                .thenCompose(
                        x -> {
                            before.recordValue(micros(started));
                            return client.complete(number);
                        })
                .whenComplete(
                        (x, e) -> {
                            if (e == null) {
                                whole.recordValue(micros(started));
                            } else {
                                failed.incrementAndGet();
                            }
                            placeNext();
                        });
    }

    private static long micros(long since) {
        return Math.min(MAX_MICROS, (System.nanoTime() - since) / 1_000);
    }

    private static double millis(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
