package io.siskintrail.edge.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counters and latency histograms of an edge, by client account and rank. Confined to the event
 * loop.
 */
final class EdgeStats {
    private static final long MAX_LATENCY_MILLIS = 120_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double[] PERCENTILES = {50, 95, 99};

    /** Size of the histogram map from which further accounts share one series. */
    private static final int MAX_ACCOUNT_HISTOGRAMS = 64;

    private static final String OTHER_ACCOUNTS = "others";
    private static final String RANK_SERIES = "siskintrail_edge_request_millis";
    private static final String ACCOUNT_SERIES = "siskintrail_edge_account_millis";
    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, Histogram> latencies = new TreeMap<>();

    /** Series of requests by what is known of each, so that no request builds their names. */
    private final Map<Outcome, Count> requests = new HashMap<>();

    private final Map<String, Histogram> byRank = new HashMap<>();
    private final Map<String, Histogram> byAccount = new HashMap<>();

    /** Labels of a counter of requests. */
    private record Outcome(String outcome, int code, String rank) {

        String series() {
            return "siskintrail_edge_requests_total{outcome=\"%s\",code=\"%d\",rank=\"%s\"}"
                    .formatted(outcome, code, rank);
        }
    }

    /** Number of requests that had one outcome. */
    private static final class Count {
        private long value;
    }

    /** Increments a counter. {@code labels} is in metrics page format and may be empty. */
    void increment(String name, String labels) {
        counters.merge(labels.isEmpty() ? name : name + '{' + labels + '}', 1L, Long::sum);
    }

    /** Records the outcome and latency of a request. */
    void recordRequest(CallContext call, String outcome, int code, long millis) {
        String rank = call.route() == null ? "-" : Integer.toString(call.rank());
        requests.computeIfAbsent(new Outcome(outcome, code, rank), o -> new Count()).value++;
        byRank.computeIfAbsent(rank, r -> histogram(RANK_SERIES, "rank=\"" + r + '"'))
                .recordValue(clamp(millis));
        String account = call.accountId() == null ? "-" : call.accountId().value();
        Histogram known = byAccount.get(account);
        Histogram ofAccount = known == null ? addAccount(account) : known;
        ofAccount.recordValue(clamp(millis));
    }

    private Histogram addAccount(String account) {
        if (latencies.size() >= MAX_ACCOUNT_HISTOGRAMS) {
            return histogram(ACCOUNT_SERIES, "account=\"" + OTHER_ACCOUNTS + '"');
        }
        Histogram added = histogram(ACCOUNT_SERIES, "account=\"" + account + '"');
        byAccount.put(account, added);
        return added;
    }

    /** Returns the label of an account, which is that of all others when there are too many. */
    private String accountLabel(String account) {
        if (!byAccount.containsKey(account)) {
            addAccount(account);
        }
        return byAccount.containsKey(account) ? account : OTHER_ACCOUNTS;
    }

    /**
     * Counts a stream that started or was refused in the order of all edges, by rank and account.
     *
     * @param event {@code started} or {@code refused}
     */
    void recordOrder(String event, CallContext call) {
        String name = "siskintrail_edge_order_%s_total".formatted(event);
        increment(name, "rank=\"%d\"".formatted(call.rank()));
        String account = call.accountId() == null ? "-" : call.accountId().value();
        increment(
                "siskintrail_edge_order_account_%s_total".formatted(event),
                "account=\"%s\"".formatted(accountLabel(account)));
    }

    /** Records a latency in milliseconds, clamped to the histogram range. */
    void recordLatency(String name, String labels, long millis) {
        histogram(name, labels).recordValue(clamp(millis));
    }

    private Histogram histogram(String name, String labels) {
        return latencies.computeIfAbsent(
                name + '{' + labels, n -> new Histogram(1, MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS));
    }

    private static long clamp(long millis) {
        return Math.max(1, Math.min(MAX_LATENCY_MILLIS, millis));
    }

    /** Returns the metrics page. */
    String page() {
        StringBuilder page = new StringBuilder();
        Map<String, Long> all = new TreeMap<>(counters);
        requests.forEach((outcome, count) -> all.put(outcome.series(), count.value));
        all.forEach((name, n) -> page.append(name).append(' ').append(n).append('\n'));
        latencies.forEach(
                (name, histogram) -> {
                    for (double percentile : PERCENTILES) {
                        page.append(name)
                                .append(",quantile=\"")
                                .append(percentile / 100)
                                .append("\"} ")
                                .append(histogram.getValueAtPercentile(percentile))
                                .append('\n');
                    }
                    page.append(name.replaceFirst("\\{", "_count{"))
                            .append("} ")
                            .append(histogram.getTotalCount())
                            .append('\n');
                });
        return page.toString();
    }
}
