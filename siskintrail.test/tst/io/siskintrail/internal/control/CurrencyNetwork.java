package io.siskintrail.internal.control;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Virtual time and links between places that lose, repeat, delay and reorder messages. */
final class CurrencyNetwork {
    private static final int MAX_DELAY_MILLIS = 30;
    private static final int LATE_MILLIS = 5_000;
    private static final int PERCENT = 100;

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final boolean[][] blocked;
    private final SplittableRandom random;
    private long now;
    private long sequence;
    private int lossPercent;

    CurrencyNetwork(int places, SplittableRandom random) {
        this.blocked = new boolean[places][places];
        this.random = random;
    }

    long now() {
        return now;
    }

    void after(long millis, Runnable task) {
        events.add(new Event(now + millis, sequence++, task));
    }

    /** Sends a message; the link is looked at when it leaves and when it arrives. */
    void send(int from, int to, Runnable delivery) {
        int copies = chance(3) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!connected(from, to) || from != to && chance(lossPercent)) {
                continue;
            }
            long delay = from == to ? 0 : 1 + random.nextInt(MAX_DELAY_MILLIS);
            if (from != to && chance(1)) {
                delay = random.nextInt(LATE_MILLIS);
            }
            after(delay, () -> deliver(from, to, delivery));
        }
    }

    private void deliver(int from, int to, Runnable delivery) {
        if (connected(from, to)) {
            delivery.run();
        }
    }

    boolean chance(int percent) {
        return random.nextInt(PERCENT) < percent;
    }

    boolean connected(int from, int to) {
        return !blocked[from][to];
    }

    boolean bothWays(int a, int b) {
        return connected(a, b) && connected(b, a);
    }

    void block(int from, int to) {
        blocked[from][to] = from != to;
    }

    void isolate(int place) {
        for (int other = 0; other < blocked.length; other++) {
            block(place, other);
            block(other, place);
        }
    }

    void split(int bits) {
        for (int a = 0; a < blocked.length; a++) {
            for (int b = 0; b < blocked.length; b++) {
                blocked[a][b] = (bits >> a & 1) != (bits >> b & 1);
            }
        }
    }

    void heal() {
        split(0);
        lossPercent = 0;
    }

    void lose(int percent) {
        lossPercent = percent;
    }

    /** Runs everything due within {@code millis}, checking after each event. */
    void run(long millis, Runnable check) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
            check.run();
        }
        now = end;
    }
}
