package io.siskintrail.bench.rules;

import io.siskintrail.router.internal.rules.RulesFollower;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Watches every router about once a millisecond: when an accepted version is in force on it, and
 * whether it ever takes work under an older version than before.
 */
final class InForceSampler implements Runnable {
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final long NANOS_PER_MICRO = 1_000;

    private final class Watch {
        private final RouterNode router;
        private final Deque<Accepted> waiting = new ArrayDeque<>();
        private long served;

        private Watch(RouterNode router) {
            this.router = router;
        }

        private void look(long now) {
            RulesFollower follower = router.follower();
            long version = follower.configuration().version();
            boolean takesWork = follower.mayTakeWork();
            if (takesWork) {
                reverts += version < served ? 1 : 0;
                served = Math.max(served, version);
            }
            Iterator<Accepted> pending = waiting.iterator();
            while (pending.hasNext()) {
                Accepted a = pending.next();
                if (!takesWork || version >= a.version()) {
                    long micros = Math.max(0, now - a.atNanos()) / NANOS_PER_MICRO;
                    inForce.recordValue(Math.min(MAX_MICROS, micros));
                    pending.remove();
                }
            }
        }
    }

    private record Accepted(long version, long atNanos) {}

    private final List<Watch> watches = new ArrayList<>();
    private final Histogram inForce = new Histogram(MAX_MICROS, 3);
    private final Thread thread = new Thread(this, "bench-sampler");
    private volatile boolean stopped;
    private long reverts;

    InForceSampler(List<RouterNode> routers) {
        routers.forEach(r -> watches.add(new Watch(r)));
    }

    void start() {
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void accepted(long version) {
        watches.forEach(w -> w.waiting.add(new Accepted(version, System.nanoTime())));
    }

    @Override
    public void run() {
        while (!stopped) {
            lookAtAll();
            try {
                TimeUnit.MILLISECONDS.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void lookAtAll() {
        watches.forEach(w -> w.look(System.nanoTime()));
    }

    void stop() throws InterruptedException {
        stopped = true;
        thread.join();
    }

    /** Returns the times from acceptance to force in microseconds, one for each edit and router. */
    Histogram inForce() {
        return inForce;
    }

    synchronized long reverts() {
        return reverts;
    }

    /** Returns how many routers an accepted edit is not in force on yet. */
    synchronized int waiting() {
        return watches.stream().mapToInt(w -> w.waiting.size()).sum();
    }
}
