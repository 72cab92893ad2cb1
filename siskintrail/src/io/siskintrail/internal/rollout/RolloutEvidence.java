package io.siskintrail.internal.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tests sequentially whether a new version fails more or answers more slowly than the old one.
 * Built for 1 to some thousand requests per second of a service, of which one in thirty reaches the
 * new version, over 10 s to some minutes. Not thread-safe.
 *
 * <p>Counts are compared in windows of {@link #WINDOW_MILLIS}, by route and failure domain, so that
 * a disturbance that hits both versions, such as a lost domain, raises the expected rate as well.
 * Each test is a one-sided cumulative sum (Page's CUSUM) of the log-likelihood ratio of two rates
 * of bad answers: a tolerated one, the rate of the old version plus a margin, and a larger one. It
 * restarts at 0 whenever the evidence favours the tolerated rate, so a version that turns bad late
 * is found as fast as one that is bad from the start. There is a set of tests for each route and
 * one for the sum of all routes, so routes with little traffic delay nothing. Few failures are only
 * looked for in the sum, which keeps false alarms rare.
 *
 * <p>For each test with {@code n} answers the chance that a version at the tolerated rate reaches
 * the threshold is at most {@code n / e^THRESHOLD}, if the rate of the old version is known
 * exactly: each answer may start a run, and a run reaches the threshold with a probability of at
 * most {@code e^-THRESHOLD}. The measured error rates stand in {@code docs/design/rollouts.md}.
 *
 * <p>One endpoint contributes at most {@code THRESHOLD / 3.3} between two restarts, so of six or
 * more endpoints four must be bad to reach the threshold; of three to five, three; of two, both.
 * Two bad endpoints are enough to prevent completion. While most requests go to the new version
 * there is no comparison at the same time; the domain with the most evidence in a window then
 * counts at most {@link #ALONE_DOMAIN} more than the others together.
 *
 * <p>Requests that are still open for longer than a limit already count as slow, until they end.
 */
final class RolloutEvidence {
    /** Length of a window of comparison in milliseconds; reports arrive every 200 ms. */
    static final long WINDOW_MILLIS = 500;

    /** The log-likelihood ratio from which the new version counts as worse. */
    static final double THRESHOLD = 7.0;

    /** The part of the threshold from which a rollout is not completed. */
    private static final double DOUBT_PART = 0.75;

    /**
     * The same for the test for few failures over all routes. It has the least evidence for each
     * answer; one failing endpoint contributes less than this.
     */
    private static final double FEW_FAILURES_DOUBT_PART = 0.45;

    /** The largest part of the threshold from one endpoint, when there are many. */
    private static final double ENDPOINT_PART = 1 / 3.3;

    /** The largest part of the threshold from one of three to five endpoints. */
    private static final double ENDPOINT_PART_OF_FEW = 1 / 2.5;

    /** Number of endpoints from which one counts as one of many. */
    private static final int MANY_ENDPOINTS = 6;

    /** The largest part of the threshold from one of two endpoints. */
    private static final double ENDPOINT_PART_OF_TWO = 1 / 1.6;

    /** The evidence of one domain alone in a window without a comparison. */
    private static final double ALONE_DOMAIN = 1.0;

    /** Weight of the history of the old version, in answers, beside those of the window. */
    private static final double HISTORY_WEIGHT = 10;

    /** Weight of the window's rate over all domains beside the counts of one domain. */
    private static final double WINDOW_WEIGHT = 4;

    /** Answers of the old version from which a route's latency limits are trusted. */
    private static final long MIN_OLD_ANSWERS = 30;

    /** Name of the sum over all routes. */
    private static final String ALL_ROUTES = "*";

    /** What counts as bad: failures, or answers above a quantile of the old version's latency. */
    private enum Kind {
        FAILED(1, 0.007, new double[] {0.04, 0.25}),
        SLOW(0.80, 0.080, new double[] {0.25}),
        VERY_SLOW(0.95, 0.032, new double[] {0.12, 0.40});

        /** The quantile of the old version's latency that is the limit; unused for failures. */
        private final double quantile;

        /** The rate of bad answers that is tolerated above 1.35 times that of the old version. */
        private final double margin;

        /** The rates above the tolerated one that the tests look for. */
        private final double[] excesses;

        Kind(double quantile, double margin, double[] excesses) {
            this.quantile = quantile;
            this.margin = margin;
            this.excesses = excesses;
        }
    }

    /** The part of the old version's rate that is added to it as tolerance. */
    private static final double RELATIVE_MARGIN = 0.35;

    /** Bad answers out of ended requests. */
    private static final class Ratio {
        private double bad;
        private double all;

        void add(double moreBad, double moreAll) {
            bad += moreBad;
            all += moreAll;
        }

        double rateWith(double prior, double weight) {
            return (bad + prior * weight) / (all + weight);
        }
    }

    /** One cumulative sum. */
    private static final class Test {
        private final Map<String, Double> positiveByEndpoint = new HashMap<>();
        private double sum;

        /** Evidence of requests that are still open. */
        private double open;

        double total() {
            return Math.max(0, sum + open);
        }
    }

    /** The counts of one window for one route and kind. */
    private static final class Window {
        private final Map<String, Ratio> oldByDomain = new HashMap<>();
        private final Map<String, Map<String, Ratio>> newByDomain = new TreeMap<>();
        private final Ratio oldTotal = new Ratio();
        private final Ratio newTotal = new Ratio();

        void add(RolloutCell cell, double bad, double all) {
            if (cell.newVersion()) {
                newTotal.add(bad, all);
                newByDomain
                        .computeIfAbsent(cell.domain(), d -> new TreeMap<>())
                        .computeIfAbsent(cell.endpoint(), e -> new Ratio())
                        .add(bad, all);
            } else {
                oldTotal.add(bad, all);
                oldByDomain.computeIfAbsent(cell.domain(), d -> new Ratio()).add(bad, all);
            }
        }
    }

    private record TestKey(String route, Kind kind, int alternative) {}

    private record RouteKind(String route, Kind kind) {}

    private final Map<RolloutCell, RolloutCount> current = new HashMap<>();
    private final Map<String, RolloutCount> oldByRoute = new HashMap<>();
    private final Map<RouteKind, Ratio> history = new HashMap<>();
    private final Map<TestKey, Test> tests = new HashMap<>();
    private final Set<String> endpointsSeen = new HashSet<>();
    private long newAnswers;
    private long newBad;
    private TestKey worst;

    /** Adds requests that ended since the last report of a host. */
    void add(RolloutCell cell, RolloutCount growth) {
        long ended = growth.answered() + growth.failed();
        if (ended == 0) {
            return;
        }
        current.merge(cell, growth, RolloutCount::plus);
        if (cell.newVersion()) {
            newAnswers += ended;
            newBad += growth.failed();
            endpointsSeen.add(cell.endpoint());
        } else {
            oldByRoute.merge(cell.route(), growth, RolloutCount::plus);
        }
    }

    /** Ends the window and updates all tests; {@code newEndpoints} is the number that exist. */
    void closeWindow(int newEndpoints) {
        Map<RouteKind, Window> windows = new HashMap<>();
        current.forEach((cell, count) -> addToWindows(windows, cell, count));
        current.clear();
        int endpoints = Math.max(newEndpoints, endpointsSeen.size());
        windows.forEach((key, window) -> update(key, window, endpoints));
    }

    /** Replaces the open requests, by the time since they were sent. */
    void setOpen(Map<RolloutCell, RolloutCount> open, int newEndpoints) {
        Map<RouteKind, Window> windows = new HashMap<>();
        open.forEach(
                (cell, count) -> {
                    RolloutCount old = oldByRoute.getOrDefault(cell.route(), RolloutCount.NONE);
                    if (old.answered() >= MIN_OLD_ANSWERS) {
                        for (Kind kind : List.of(Kind.SLOW, Kind.VERY_SLOW)) {
                            long late = count.answeredAbove(old.quantileBucket(kind.quantile));
                            addToWindows(windows, cell, kind, late, late);
                        }
                    }
                });
        int endpoints = Math.max(newEndpoints, endpointsSeen.size());
        tests.values().forEach(t -> t.open = 0);
        windows.forEach(
                (key, window) -> {
                    double past = history.computeIfAbsent(key, k -> new Ratio()).rateWith(0, 1);
                    for (int i = 0; i < key.kind.excesses.length; i++) {
                        TestKey testKey = new TestKey(key.route, key.kind, i);
                        Test test = tests.computeIfAbsent(testKey, k -> new Test());
                        Test scratch = new Test();
                        scratch.positiveByEndpoint.putAll(test.positiveByEndpoint);
                        test.open = evidence(key, i, scratch, window, past, endpoints);
                        if (test.total() >= THRESHOLD && worst == null) {
                            worst = testKey;
                        }
                    }
                });
    }

    /** Returns whether a test is too close to the threshold to complete the rollout. */
    boolean isDoubtful() {
        return tests.entrySet().stream()
                .anyMatch(e -> e.getValue().total() >= THRESHOLD * doubtPart(e.getKey()));
    }

    private static double doubtPart(TestKey key) {
        return isForFewFailures(key.kind, key.alternative) ? FEW_FAILURES_DOUBT_PART : DOUBT_PART;
    }

    private static boolean isForFewFailures(Kind kind, int alternative) {
        return kind == Kind.FAILED && alternative == 0;
    }

    /** Returns whether a test reached the threshold, now or before. */
    boolean isBad() {
        return worst != null;
    }

    /** Returns the requests to the new version that ended. */
    long newAnswers() {
        return newAnswers;
    }

    /** Returns the evidence as key=value pairs. */
    String describe() {
        TestKey top = worst;
        for (Map.Entry<TestKey, Test> entry : tests.entrySet()) {
            if (worst == null
                    && (top == null || entry.getValue().total() > tests.get(top).total())) {
                top = entry.getKey();
            }
        }
        String cause =
                top == null
                        ? "cause=none"
                        : "cause="
                                + top.kind.name().toLowerCase(Locale.ROOT)
                                + " route="
                                + top.route;
        return cause
                + String.format(
                        Locale.ROOT,
                        " answers=%d failed=%d ratio=%.2f threshold=%.2f",
                        newAnswers,
                        newBad,
                        top == null ? 0 : tests.get(top).total(),
                        THRESHOLD);
    }

    private void addToWindows(
            Map<RouteKind, Window> windows, RolloutCell cell, RolloutCount count) {
        for (Kind kind : Kind.values()) {
            double bad = count.failed();
            double all = count.answered() + count.failed();
            if (kind != Kind.FAILED) {
                RolloutCount old = oldByRoute.getOrDefault(cell.route(), RolloutCount.NONE);
                if (old.answered() < MIN_OLD_ANSWERS) {
                    continue;
                }
                all = count.answered();
                bad = count.answeredAbove(old.quantileBucket(kind.quantile));
            }
            addToWindows(windows, cell, kind, bad, all);
        }
    }

    private static void addToWindows(
            Map<RouteKind, Window> windows, RolloutCell cell, Kind kind, double bad, double all) {
        for (String route : List.of(cell.route(), ALL_ROUTES)) {
            windows.computeIfAbsent(new RouteKind(route, kind), k -> new Window())
                    .add(cell, bad, all);
        }
    }

    private void update(RouteKind key, Window window, int endpoints) {
        Ratio past = history.computeIfAbsent(key, k -> new Ratio());
        double pastRate = past.rateWith(0, 1);
        past.add(window.oldTotal.bad, window.oldTotal.all);
        for (int i = 0; i < key.kind.excesses.length; i++) {
            if (isForFewFailures(key.kind, i) && !key.route.equals(ALL_ROUTES)) {
                continue;
            }
            TestKey testKey = new TestKey(key.route, key.kind, i);
            Test test = tests.computeIfAbsent(testKey, k -> new Test());
            test.sum = Math.max(0, test.sum + evidence(key, i, test, window, pastRate, endpoints));
            if (test.sum == 0) {
                test.positiveByEndpoint.clear();
            }
            if (test.sum >= THRESHOLD && worst == null) {
                worst = testKey;
            }
        }
    }

    private static double evidence(
            RouteKind key, int alternative, Test test, Window window, double past, int endpoints) {
        double windowRate = window.oldTotal.rateWith(past, HISTORY_WEIGHT);
        List<Double> byDomain = new ArrayList<>();
        window.newByDomain.forEach(
                (domain, byEndpoint) -> {
                    Ratio old = window.oldByDomain.getOrDefault(domain, new Ratio());
                    double base = old.rateWith(windowRate, WINDOW_WEIGHT);
                    double tolerated =
                            Math.min(0.9, base * (1 + RELATIVE_MARGIN) + key.kind.margin);
                    double larger = Math.min(0.97, tolerated + key.kind.excesses[alternative]);
                    double sum = 0;
                    for (Map.Entry<String, Ratio> entry : byEndpoint.entrySet()) {
                        Ratio r = entry.getValue();
                        double ratio =
                                r.bad * Math.log(larger / tolerated)
                                        + (r.all - r.bad)
                                                * Math.log((1 - larger) / (1 - tolerated));
                        sum += limit(test, entry.getKey(), ratio, endpoints);
                    }
                    byDomain.add(sum);
                });
        double total = byDomain.stream().mapToDouble(Double::doubleValue).sum();
        if (window.oldTotal.all < window.newTotal.all && byDomain.size() > 1) {
            double most = byDomain.stream().mapToDouble(Double::doubleValue).max().orElse(0);
            double others = total - most;
            total = Math.min(total, others + Math.max(0, others) + ALONE_DOMAIN);
        }
        return total;
    }

    /** Limits what one endpoint contributes since the sum last was 0. */
    private static double limit(Test test, String endpoint, double ratio, int endpoints) {
        if (ratio <= 0 || endpoints <= 1) {
            return ratio;
        }
        double part = endpoints < MANY_ENDPOINTS ? ENDPOINT_PART_OF_FEW : ENDPOINT_PART;
        double most = THRESHOLD * (endpoints == 2 ? ENDPOINT_PART_OF_TWO : part);
        double used = test.positiveByEndpoint.getOrDefault(endpoint, 0.0);
        double counted = Math.min(ratio, most - used);
        test.positiveByEndpoint.put(endpoint, used + counted);
        return counted;
    }
}
