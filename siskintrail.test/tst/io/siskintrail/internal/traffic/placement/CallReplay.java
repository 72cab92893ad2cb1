package io.siskintrail.internal.traffic.placement;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Replays short calls of 89 hosts to three endpoints of six slots each, in virtual time. Endpoints
 * are slow in periods of 600 ms, reject calls when they are full, and one at a time is lost
 * silently for 1.2 s. Links between failure domains lose SYN packets.
 */
final class CallReplay {
    private static final int HOSTS = 89;
    private static final int SLOTS = 6;
    private static final double CALLS_PER_MILLI = 0.19;
    private static final double IDEMPOTENT_SHARE = 0.286;
    private static final double WORK_MILLIS = 21.4;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_SHARE = 0.15;
    private static final int PERIOD_MILLIS = 600;
    private static final double REMOTE_SYN_LOSS = 0.03;
    private static final int REMOTE_ROUND_TRIP_MILLIS = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int LOSS_INTERVAL_MILLIS = 6_500;
    private static final int LOSS_MILLIS = 1_200;
    private static final int TARGET_MILLIS = 148;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int DURATION_MILLIS = 120_000;

    private final Policy policy;
    private final SplittableRandom random;
    private final long slowSeed;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Host> hosts = new ArrayList<>();
    private final int[] busy = new int[3];
    private long sequence;
    private double now;
    int calls;
    int late;
    int unansweredIdempotent;
    int hedges;
    int hedgesThatWon;

    /**
     * What the hosts do.
     *
     * @param losses whether endpoints are lost
     * @param connectWaitMillis when a call that is not connected goes elsewhere
     * @param hedge when an idempotent call is sent again
     */
    record Policy(boolean losses, int connectWaitMillis, Hedge hedge) {}

    /** When an idempotent call that is not answered after half of its target is sent again. */
    enum Hedge {
        NEVER,
        ALWAYS,
        IF_SOONER
    }

    private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Double.compare(at, other.at);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    private record Host(String domain, CallPlacement placement, List<EndpointView> endpoints) {}

    CallReplay(Policy policy, long seed) {
        this.policy = policy;
        this.random = new SplittableRandom(seed);
        this.slowSeed = seed;
        for (int i = 0; i < HOSTS; i++) {
            String domain = domain(i % 3);
            List<EndpointView> views = new ArrayList<>();
            for (int e = 0; e < 3; e++) {
                views.add(new EndpointView(record(e)));
            }
            hosts.add(new Host(domain, new CallPlacement(new FailureDomain(domain)), views));
        }
    }

    /** Runs the load; returns this. */
    CallReplay run() {
        after(0, this::arrive);
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        return this;
    }

    private void arrive() {
        if (now > DURATION_MILLIS) {
            return;
        }
        after(-Math.log(1 - random.nextDouble()) / CALLS_PER_MILLI, this::arrive);
        new Call(hosts.get(random.nextInt(HOSTS)), random.nextDouble() < IDEMPOTENT_SHARE).start();
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(now + millis, sequence++, action));
    }

    private boolean isLost(int endpoint) {
        long round = (long) now / LOSS_INTERVAL_MILLIS;
        return policy.losses
                && round % 3 == endpoint
                && now % LOSS_INTERVAL_MILLIS >= LOSS_INTERVAL_MILLIS - LOSS_MILLIS;
    }

    private double work(int endpoint) {
        long period = (long) now / PERIOD_MILLIS;
        boolean slow =
                new SplittableRandom(slowSeed * 31 + period * 3 + endpoint).nextDouble()
                        < SLOW_SHARE;
        return WORK_MILLIS * (slow ? SLOW_FACTOR : 1) * (0.7 + 0.6 * random.nextDouble());
    }

    private static String domain(int index) {
        return "d" + index;
    }

    private static EndpointRecord record(int index) {
        return new EndpointRecord(
                new EndpointId("e" + index),
                1,
                1,
                Records.MODEL,
                "e" + index + ":80",
                new FailureDomain(domain(index)),
                SLOTS,
                0,
                EndpointState.READY);
    }

    private final class Call {
        private final Host host;
        private final boolean idempotent;
        private final double startedAt = now;
        private final Set<EndpointView> tried = new HashSet<>();
        private int attempts;
        private boolean ended;

        Call(Host host, boolean idempotent) {
            this.host = host;
            this.idempotent = idempotent;
        }

        void start() {
            calls++;
            after(DEADLINE_MILLIS, () -> end(false));
            send(Double.POSITIVE_INFINITY, false);
        }

        private boolean send(double limit, boolean hedge) {
            EndpointView best =
                    limit == Double.POSITIVE_INFINITY
                            ? host.placement.choose(
                                    (long) now, host.endpoints, e -> !tried.contains(e))
                            : host.placement.chooseSooner(
                                    (long) now, host.endpoints, e -> !tried.contains(e), limit);
            if (best == null || attempts >= MAX_ATTEMPTS) {
                return false;
            }
            tried.add(best);
            attempts++;
            connect(best, host.endpoints.indexOf(best), hedge);
            return true;
        }

        private void connect(EndpointView view, int endpoint, boolean hedge) {
            boolean remote = !domain(endpoint).equals(host.domain);
            double expected = CallPlacement.expectedMillis(view);
            long sentAt = (long) now;
            view.beginRequest(0);
            Runnable release = () -> view.endRequest(0);
            if (isLost(endpoint) || remote && random.nextDouble() < REMOTE_SYN_LOSS) {
                after(
                        Math.min(CONNECT_TIMEOUT_MILLIS, policy.connectWaitMillis),
                        () -> {
                            release.run();
                            view.health().recordUnreachable((long) now);
                            if (!ended && !send(Double.POSITIVE_INFINITY, false)) {
                                end(false);
                            }
                        });
                return;
            }
            after(
                    remote ? 2 * REMOTE_ROUND_TRIP_MILLIS : 1,
                    () -> execute(view, endpoint, sentAt, expected, release, hedge));
        }

        private void execute(
                EndpointView view,
                int endpoint,
                long sentAt,
                double expected,
                Runnable release,
                boolean hedge) {
            if (busy[endpoint] >= SLOTS) {
                release.run();
                view.health().recordFailure((long) now);
                if (!ended && !send(Double.POSITIVE_INFINITY, false)) {
                    end(false);
                }
                return;
            }
            busy[endpoint]++;
            if (idempotent && policy.hedge != Hedge.NEVER) {
                after(TARGET_MILLIS / 2 - (now - startedAt), () -> hedge(sentAt, expected));
            }
            after(
                    work(endpoint),
                    () -> {
                        busy[endpoint]--;
                        if (isLost(endpoint)) {
                            after(Math.max(0, startedAt + DEADLINE_MILLIS - now), release);
                            return;
                        }
                        release.run();
                        view.health().recordSuccess((long) now, (long) now - sentAt);
                        if (!ended && hedge) {
                            hedgesThatWon++;
                        }
                        end(true);
                    });
        }

        private void hedge(long sentAt, double expected) {
            if (ended || tried.size() > 1) {
                return;
            }
            double limit =
                    policy.hedge == Hedge.ALWAYS
                            ? Double.POSITIVE_INFINITY
                            : CallPlacement.remainingMillis(expected, (long) now - sentAt);
            if (send(limit, true)) {
                hedges++;
            }
        }

        private void end(boolean answered) {
            if (ended) {
                return;
            }
            ended = true;
            if (!answered || now - startedAt > TARGET_MILLIS) {
                late++;
            }
            if (!answered && idempotent) {
                unansweredIdempotent++;
            }
        }
    }
}
