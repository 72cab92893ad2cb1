package io.siskintrail.internal.traffic.admission;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Hosts that share the places of a service in virtual time. Reports arrive late, and may be lost or
 * repeated. The hosts decide in one order, or each by itself with a {@link WaitingRoom}.
 */
final class AdmissionSimulation {
    static final int HOSTS = 20;
    static final int PLACES = 8;
    static final long SERVICE_MILLIS = 1_000;
    static final long POLL_MILLIS = 40;
    static final long MAX_DELAY_MILLIS = 130;
    private static final long MIN_DELAY_MILLIS = 50;
    private static final long REFRESH_MILLIS = 1_000;
    private static final long STEP_MILLIS = 10;
    private static final long NEVER = Long.MAX_VALUE / 2;
    private static final ServiceName SERVICE = new ServiceName("chat");

    private final SplittableRandom random;
    private final boolean isShared;
    private final double faultShare;
    private final List<Host> hosts;
    private final List<Report> inFlight = new ArrayList<>();
    private final List<Flow> flows = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private final long[] placeFreeAt = new long[PLACES];
    private long now;

    /** Requests of one rank and account at the hosts below {@code hosts}. */
    record Flow(int rank, int account, double perSecond, int hosts) {}

    /** A request that started. */
    record Start(int rank, int account, long waitedMillis) {}

    private record Report(
            long at, int from, int running, int starts, Optional<List<WaitingRequest>> waiting) {}

    private static final class Host {
        private final AdmissionOrder<AdmissionOrder.Request> order = new AdmissionOrder<>();
        private final WaitingRoom<AdmissionOrder.Request> room =
                new WaitingRoom<>(new ReleaseRate(1_000));
        private final List<Long> ends = new ArrayList<>();
        private final int[] runningElsewhere = new int[HOSTS];
        private boolean changed;
        private int unreportedStarts;
        private long reportedAt;

        int free() {
            return PLACES - ends.size() - IntStream.of(runningElsewhere).sum();
        }
    }

    AdmissionSimulation(long seed, boolean isShared, double faultShare) {
        this.random = new SplittableRandom(seed);
        this.isShared = isShared;
        this.faultShare = faultShare;
        this.hosts = IntStream.range(0, HOSTS).mapToObj(i -> new Host()).toList();
    }

    AdmissionSimulation with(Flow flow) {
        flows.add(flow);
        return this;
    }

    /** Returns the starts of a run of {@code millis}. */
    List<Start> run(long millis) {
        for (now = 0; now < millis; now += STEP_MILLIS) {
            deliver();
            for (int i = 0; i < HOSTS; i++) {
                step(i);
            }
        }
        return starts;
    }

    private void step(int index) {
        Host host = hosts.get(index);
        host.changed |= host.ends.removeIf(end -> end <= now);
        for (Flow flow : flows) {
            double share = flow.perSecond / flow.hosts * STEP_MILLIS / 1_000;
            if (index < flow.hosts && random.nextDouble() < share) {
                arrive(host, flow);
            }
        }
        if (now % POLL_MILLIS == index % 4 * STEP_MILLIS) {
            place(host);
            report(index, host);
        }
    }

    private void arrive(Host host, Flow flow) {
        AdmissionOrder.Request request =
                new AdmissionOrder.Request(flow.rank, flow.account, now, NEVER, 1, false);
        if (isShared) {
            host.order.add(request, request);
            place(host);
            host.changed = true;
        } else if (host.free() > 0) {
            start(host, request);
        } else {
            host.room.tryEnqueue(now, request, flow.rank, NEVER);
        }
    }

    private void place(Host host) {
        if (!isShared) {
            AdmissionOrder.Request first = host.room.peekFirst();
            if (first != null && host.free() > 0) {
                host.room.removeFirst();
                start(host, first);
            }
            return;
        }
        boolean hasStarted = true;
        while (hasStarted) {
            hasStarted = false;
            for (AdmissionOrder.Waiting<AdmissionOrder.Request> w : host.order.ordered(now)) {
                if (host.free() > w.position()) {
                    host.order.remove(w);
                    host.order.recordStart(w.request());
                    start(host, w.item());
                    hasStarted = true;
                    break;
                }
            }
        }
    }

    private void start(Host host, AdmissionOrder.Request request) {
        int place = 0;
        for (int i = 1; i < PLACES; i++) {
            place = placeFreeAt[i] < placeFreeAt[place] ? i : place;
        }
        // A place that was taken twice serves the later request afterwards.
        long begin = Math.max(now, placeFreeAt[place]);
        placeFreeAt[place] = begin + SERVICE_MILLIS;
        host.ends.add(placeFreeAt[place]);
        host.changed = true;
        host.unreportedStarts++;
        long waited = begin - request.sinceMillis();
        starts.add(new Start(request.rank(), request.account(), waited));
    }

    private void report(int index, Host host) {
        boolean refreshes = host.order.size() > 0 && now - host.reportedAt >= REFRESH_MILLIS;
        if (!host.changed && !refreshes) {
            return;
        }
        host.changed = false;
        host.reportedAt = now;
        long at = now + random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
        Report report =
                new Report(
                        at,
                        index,
                        host.ends.size(),
                        host.unreportedStarts,
                        Optional.of(host.order.report(SERVICE, now)));
        host.unreportedStarts = 0;
        if (random.nextDouble() >= faultShare) {
            inFlight.add(report);
        }
        if (random.nextDouble() < faultShare) {
            inFlight.add(report);
        }
    }

    private void deliver() {
        for (Iterator<Report> i = inFlight.iterator(); i.hasNext(); ) {
            Report report = i.next();
            if (report.at > now) {
                continue;
            }
            i.remove();
            HostId from = new HostId("host-" + report.from);
            for (int h = 0; h < HOSTS; h++) {
                if (h != report.from) {
                    Host host = hosts.get(h);
                    host.runningElsewhere[report.from] = report.running;
                    host.order.applyReport(from, now, report.waiting, report.starts);
                }
            }
        }
    }
}
