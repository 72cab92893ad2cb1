package io.siskintrail.internal.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides on one running rollout; runs on the registry leader. Built for 10 to 100 hosts, 25 to
 * some thousand requests per second, and rollouts of 10 s or longer. Not thread-safe.
 *
 * <p>A version may turn bad at any time, so the requests that it gets are bounded at every moment,
 * not on average. Let {@code N} be the requests to the service since the order, {@code X} those to
 * the new version, {@code r} the rate, {@code D} the duration, {@code a} the exposure share and
 * {@code b} 0.75 of the exposure slack. The rest of the slack covers requests that are sent between
 * two reports. All traffic must go to the new version for {@code C} = {@link #CLOSING_MILLIS} less
 * 150 ms of delivery before the deadline, in which the old version finishes what it runs, and the
 * state becomes durable. Hence up to then at most {@code B = a (N + r (time left)) + b - r C}
 * requests may go to the new version. For 156 requests per second and 12 s, {@code B} = 187 + 37 -
 * 179 = 45. A rollout with {@code a D + b / r < C} cannot keep the bound if the version turns bad
 * in the last {@code C}; all other kinds still keep it.
 *
 * <ul>
 *   <li>Probing: {@link #PROBE_PART} of {@code B}, granted evenly over time, one request at a time,
 *       and at no time more than {@code a N + b} with the {@code N} reported so far.
 *   <li>Full: as soon as the rest of {@code B} lasts for all traffic until closing, hosts are
 *       granted as many requests as they are expected to get.
 *   <li>Closing: {@code C} before the deadline, if no test is in doubt, leases no longer name a
 *       maximum. Hosts move what runs and send nothing to the old version. Once all hosts in
 *       contact report this, with nothing left at the old version, the rollout is complete.
 * </ul>
 *
 * <p>A maximum is cumulative and never falls within an incarnation of a host, so that repeated,
 * late or lost leases do not add up, and every granted request counts as sent. A new leader starts
 * with an empty controller. It grants nothing until the leases of its predecessor expired and all
 * hosts in contact reported, and learns from cumulative counts what was sent; what ended
 * incarnations sent is reported back by the other hosts ({@link RolloutReport#retired}).
 */
public final class RolloutController {
    /** Time between two reports of a host in milliseconds, unless its lease says otherwise. */
    public static final long REPORT_MILLIS = 200;

    /** Time between two reports of a host in milliseconds from shortly before closing. */
    private static final long FAST_REPORT_MILLIS = 100;

    /** Time before closing in milliseconds from which reports come faster. */
    private static final long FAST_REPORTS_MILLIS = 500;

    /**
     * The time in milliseconds that a lease is valid. With the time to decide it stays below the
     * 5,000 ms in which a bad version must get no more requests.
     */
    public static final long LEASE_MILLIS = 2_000;

    /** Time before the deadline in milliseconds at which all traffic goes to the new version. */
    public static final long CLOSING_MILLIS = 1_300;

    /** Time in milliseconds that is left for making the decision durable. */
    public static final long COMMIT_MILLIS = 400;

    /** Time in milliseconds of closing that is observed at least, so that load shows. */
    private static final long MIN_CLOSING_MILLIS = CLOSING_MILLIS - COMMIT_MILLIS;

    /** Mean time in milliseconds until hosts hold a closing lease: half a period and two trips. */
    private static final long LEASE_DELAY_MILLIS = 150;

    /**
     * Age in milliseconds up to which a report proves that a host holds a closing lease until the
     * decision is durable: the lease less the commit and 800 ms of delay of the report.
     */
    private static final long PROOF_MILLIS = LEASE_MILLIS - COMMIT_MILLIS - 800;

    /** The part of the bound that is used before all traffic moves. */
    private static final double PROBE_PART = 0.85;

    /** The part of the slack that is granted. */
    private static final double SLACK_PART = 0.75;

    /** Smallest part of the share and slack that is used to probe when closing needs the rest. */
    private static final double MIN_PROBE_PART = 0.2;

    /** Time in milliseconds for which a host gets requests in advance while all traffic moves. */
    private static final double GRANT_AHEAD_MILLIS = 500;

    /** Time constant of the rate of a host in milliseconds. */
    private static final double RATE_MILLIS = 2_000;

    /** Requests to the new version from which a lack of answers counts as a fault. */
    private static final long MIN_UNANSWERED = 20;

    private enum Phase {
        PROBING,
        FULL,
        CLOSING
    }

    /** What is known of one host. */
    private static final class Host {
        private RolloutReport last;
        private long heardAt;
        private long maxSent;
        private double requestsPerMilli;

        long charged() {
            return Math.max(maxSent, last.sentNew());
        }
    }

    private final Rollout rollout;
    private final RolloutSettings settings;
    private final long orderMillis;
    private final long grantsFromMillis;
    private final RolloutEvidence evidence = new RolloutEvidence();
    private final Map<String, Host> hosts = new HashMap<>();
    private RolloutDecision decision = new RolloutDecision(RolloutState.RUNNING, "");
    private Phase phase = Phase.PROBING;
    private long phaseSince;
    private long windowSince;

    /** Whether what was sent before is known; at once if no earlier leader can have granted. */
    private boolean allHeard;

    private int newEndpoints;

    /** Requests to the new version of incarnations that ended, as far as hosts reported them. */
    private long inherited;

    private long retiredNew;
    private long retiredAll;

    /**
     * Creates the controller of a rollout, without any counts.
     *
     * @param rollout the rollout; must be running
     * @param settings the limits
     * @param orderMillis when the order was accepted, in the monotonic time of this leader
     * @param grantsFromMillis the time from which no earlier leader can grant leases any more; a
     *     leader that accepted the order itself passes {@code orderMillis - LEASE_MILLIS}
     */
    public RolloutController(
            Rollout rollout, RolloutSettings settings, long orderMillis, long grantsFromMillis) {
        if (rollout.state() != RolloutState.RUNNING) {
            throw new IllegalArgumentException("rollout is not running: " + rollout);
        }
        this.rollout = rollout;
        this.settings = settings;
        this.orderMillis = orderMillis;
        this.grantsFromMillis = grantsFromMillis;
        windowSince = orderMillis;
        allHeard = grantsFromMillis + LEASE_MILLIS <= orderMillis;
    }

    /**
     * Takes a report and returns the lease that answers it, or nothing for a report that is older
     * than one seen before.
     *
     * @param nowMillis monotonic time
     * @param report the report
     */
    public Optional<RolloutLease> onReport(long nowMillis, RolloutReport report) {
        Host host = hosts.get(report.host());
        if (host != null && !isNewer(report, host.last)) {
            return Optional.empty();
        }
        inherited = Math.max(inherited, report.retired() - retiredNew);
        if (host == null || report.incarnation() > host.last.incarnation()) {
            if (host != null) {
                retiredNew += host.charged();
                retiredAll += host.last.sentOld() + host.last.sentNew();
            }
            host = new Host();
            hosts.put(report.host(), host);
            report.counts().forEach(evidence::add);
        } else {
            addGrowth(nowMillis, host, report);
        }
        host.last = report;
        host.heardAt = nowMillis;
        if (report.heldMax() < Long.MAX_VALUE) {
            host.maxSent = Math.max(host.maxSent, report.heldMax());
        }
        return Optional.of(grant(nowMillis, host));
    }

    /**
     * Moves the rollout on. Call it at least every {@code REPORT_MILLIS}; the first decision other
     * than {@code RUNNING} is final. The caller makes it durable, then tells all hosts.
     *
     * @param nowMillis monotonic time
     * @param contacts the names of the hosts in contact with any registry
     * @param oldEndpoints the number of endpoints of the old version
     * @param newEndpoints the number of endpoints of the new version
     */
    public RolloutDecision decide(
            long nowMillis, Set<String> contacts, int oldEndpoints, int newEndpoints) {
        this.newEndpoints = newEndpoints;
        if (decision.state() != RolloutState.RUNNING) {
            return decision;
        }
        if (nowMillis >= windowSince + RolloutEvidence.WINDOW_MILLIS) {
            windowSince = nowMillis;
            evidence.closeWindow(newEndpoints);
            evidence.setOpen(sumOpen(), newEndpoints);
        }
        allHeard |=
                hosts.keySet().containsAll(contacts)
                        || nowMillis >= grantsFromMillis + LEASE_MILLIS + settings.contactMillis();
        if (evidence.isBad()) {
            return end(RolloutState.ROLLED_BACK, "");
        }
        movePhase(nowMillis);
        boolean late = nowMillis >= deadline() - COMMIT_MILLIS;
        if (phase == Phase.CLOSING
                && nowMillis >= phaseSince + MIN_CLOSING_MILLIS
                && newEndpoints > 0
                && !evidence.isDoubtful()
                && isDrained(nowMillis, contacts, late, oldEndpoints)) {
            evidence.closeWindow(newEndpoints);
            evidence.setOpen(sumOpen(), newEndpoints);
            return evidence.isDoubtful()
                    ? end(RolloutState.ROLLED_BACK, " reason=in_doubt_at_deadline")
                    : end(RolloutState.COMPLETED, "");
        }
        if (late && newEndpoints == 0) {
            return end(RolloutState.ROLLED_BACK, " reason=no_endpoints");
        }
        if (late && isUnanswered()) {
            return end(RolloutState.ROLLED_BACK, " reason=unanswered");
        }
        if (late && evidence.isDoubtful()) {
            return end(RolloutState.ROLLED_BACK, " reason=in_doubt_at_deadline");
        }
        return decision;
    }

    /** Returns the rollout in its current state. */
    public Rollout rollout() {
        return rollout.withState(decision.state());
    }

    /** Returns the requests to the new version that were sent or may still be under leases. */
    public long charged() {
        return inherited + retiredNew + hosts.values().stream().mapToLong(Host::charged).sum();
    }

    /** Returns the requests to the service that hosts reported. */
    public long requests() {
        return retiredAll
                + hosts.values().stream().mapToLong(h -> h.last.sentOld() + h.last.sentNew()).sum();
    }

    private static boolean isNewer(RolloutReport report, RolloutReport last) {
        return report.incarnation() > last.incarnation()
                || report.incarnation() == last.incarnation()
                        && report.sequence() > last.sequence();
    }

    private void addGrowth(long nowMillis, Host host, RolloutReport report) {
        report.counts()
                .forEach(
                        (cell, count) -> {
                            RolloutCount before =
                                    host.last.counts().getOrDefault(cell, RolloutCount.NONE);
                            if (!count.equals(before)) {
                                evidence.add(cell, count.minus(before));
                            }
                        });
        double sent =
                report.sentOld() + report.sentNew() - host.last.sentOld() - host.last.sentNew();
        double kept = Math.exp((host.heardAt - nowMillis) / RATE_MILLIS);
        host.requestsPerMilli = host.requestsPerMilli * kept + sent / RATE_MILLIS;
    }

    private RolloutLease grant(long nowMillis, Host host) {
        boolean closing = phase == Phase.CLOSING && decision.state() != RolloutState.ROLLED_BACK;
        boolean mayGrant =
                decision.state() == RolloutState.RUNNING
                        && allHeard
                        && newEndpoints > 0
                        && nowMillis >= grantsFromMillis + LEASE_MILLIS;
        if (mayGrant && !closing) {
            long charged = charged();
            long room =
                    (long) Math.floor(allowedNow(nowMillis) - charged)
                            + host.charged()
                            - host.last.sentNew();
            long most = host.last.sentNew() + Math.min(room, wanted(host));
            host.maxSent = Math.max(host.maxSent, most);
        }
        return new RolloutLease(
                host.last.host(),
                host.last.incarnation(),
                host.last.sequence(),
                closing || mayGrant ? 1 : 0,
                closing ? Long.MAX_VALUE : host.charged(),
                LEASE_MILLIS,
                closing,
                nowMillis < closingAt() - FAST_REPORTS_MILLIS ? REPORT_MILLIS : FAST_REPORT_MILLIS,
                inherited + retiredNew);
    }

    private long wanted(Host host) {
        return phase == Phase.PROBING
                ? 1
                : 1 + (long) Math.ceil(host.requestsPerMilli * GRANT_AHEAD_MILLIS);
    }

    /** Returns the number of requests to the new version that may be granted by now. */
    private double allowedNow(long nowMillis) {
        double slack = SLACK_PART * settings.exposureSlack();
        double hard = settings.exposureShare() * requests() + slack;
        double share = settings.exposureShare() * expectedRequests(nowMillis) + slack;
        double probes = Math.max(PROBE_PART * bound(nowMillis), MIN_PROBE_PART * share);
        if (phase != Phase.PROBING) {
            return Math.min(hard, Math.max(probes, bound(nowMillis)));
        }
        double progress = (nowMillis - orderMillis) / (double) (closingAt() - orderMillis);
        return Math.min(hard, probes * Math.min(1, progress));
    }

    /** Returns how many requests may go to the new version before closing. */
    private double bound(long nowMillis) {
        return settings.exposureShare() * expectedRequests(nowMillis)
                + SLACK_PART * settings.exposureSlack()
                - requestsPerMilli(nowMillis) * (CLOSING_MILLIS - LEASE_DELAY_MILLIS);
    }

    private double expectedRequests(long nowMillis) {
        return requests() + requestsPerMilli(nowMillis) * Math.max(0, deadline() - nowMillis);
    }

    private double requestsPerMilli(long nowMillis) {
        return Math.max(
                hosts.values().stream().mapToDouble(h -> h.requestsPerMilli).sum(),
                requests() / Math.max(1.0, nowMillis - orderMillis));
    }

    private void movePhase(long nowMillis) {
        if (phase == Phase.PROBING && nowMillis < closingAt()) {
            double needed = requestsPerMilli(nowMillis) * (closingAt() - nowMillis);
            boolean calm = !evidence.isDoubtful();
            boolean lasts = needed <= bound(nowMillis) - charged();
            if (calm && lasts && nowMillis > (orderMillis + closingAt()) / 2) {
                phase = Phase.FULL;
                phaseSince = nowMillis;
            }
        }
        if (phase != Phase.CLOSING
                && nowMillis >= closingAt()
                && !evidence.isDoubtful()
                && !isUnanswered()
                && allHeard
                && newEndpoints > 0) {
            phase = Phase.CLOSING;
            phaseSince = nowMillis;
        }
    }

    private boolean isUnanswered() {
        long sent = hosts.values().stream().mapToLong(h -> h.last.sentNew()).sum();
        return sent >= MIN_UNANSWERED && evidence.newAnswers() < sent / 4;
    }

    private boolean isDrained(
            long nowMillis, Set<String> contacts, boolean late, int oldEndpoints) {
        if (oldEndpoints == 0) {
            return true;
        }
        for (String name : contacts) {
            Host host = hosts.get(name);
            long age = host == null ? Long.MAX_VALUE : nowMillis - host.heardAt;
            if (late && age > LEASE_MILLIS) {
                continue;
            }
            if (host == null
                    || age > PROOF_MILLIS
                    || !host.last.closing()
                    || host.last.openOld() > 0) {
                return false;
            }
        }
        return true;
    }

    private long deadline() {
        return orderMillis + rollout.durationMillis();
    }

    private long closingAt() {
        return Math.max(orderMillis, deadline() - CLOSING_MILLIS);
    }

    private Map<RolloutCell, RolloutCount> sumOpen() {
        Map<RolloutCell, RolloutCount> sums = new HashMap<>();
        hosts.values()
                .forEach(
                        h -> h.last.open().forEach((c, n) -> sums.merge(c, n, RolloutCount::plus)));
        return sums;
    }

    private RolloutDecision end(RolloutState state, String reason) {
        decision =
                new RolloutDecision(
                        state,
                        evidence.describe()
                                + reason
                                + " charged="
                                + charged()
                                + " requests="
                                + requests());
        return decision;
    }
}
