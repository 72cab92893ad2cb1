package io.siskintrail.bench.membership;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Events in virtual time, and messages with latency and loss that are counted. */
public final class VirtualNetwork {
    private static final int LATENCY_MICROS = 500;
    private static final long MICROS_PER_MILLI = 1_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));
    private final SplittableRandom random;
    private final double lossShare;
    private long nowMicros;
    private long numbers;
    private long messages;
    private long bytes;

    private record Event(long atMicros, long number, Runnable task) {}

    /** Makes a network that loses a share of its messages. */
    public VirtualNetwork(long seed, double lossShare) {
        this.random = new SplittableRandom(seed);
        this.lossShare = lossShare;
    }

    /** Returns the virtual time. */
    public long nowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    SplittableRandom random() {
        return random;
    }

    /** Counts a message and delivers it after the latency, unless it is lost. */
    void send(int size, Runnable delivery) {
        messages++;
        bytes += size;
        if (random.nextDouble() >= lossShare) {
            at(nowMicros + LATENCY_MICROS + random.nextInt(LATENCY_MICROS), delivery);
        }
    }

    /** Runs {@code task} after {@code millis}. */
    void after(long millis, Runnable task) {
        at(nowMicros + millis * MICROS_PER_MILLI, task);
    }

    /** Runs {@code task} every {@code millis}, from a random moment of the first period on. */
    void every(long millis, Runnable task) {
        int first = random.nextInt((int) (millis * MICROS_PER_MILLI));
        at(nowMicros + first, () -> repeat(millis, task));
    }

    /** Lets time pass until {@code millis}. */
    public void runUntil(long millis) {
        long end = millis * MICROS_PER_MILLI;
        while (!events.isEmpty() && events.peek().atMicros <= end) {
            Event e = events.poll();
            nowMicros = e.atMicros;
            e.task.run();
        }
        nowMicros = end;
    }

    /** Returns the messages sent so far. */
    public long messages() {
        return messages;
    }

    /** Returns the bytes sent so far. */
    public long bytes() {
        return bytes;
    }

    private void repeat(long millis, Runnable task) {
        task.run();
        at(nowMicros + millis * MICROS_PER_MILLI, () -> repeat(millis, task));
    }

    private void at(long micros, Runnable task) {
        events.add(new Event(micros, ++numbers, task));
    }
}
