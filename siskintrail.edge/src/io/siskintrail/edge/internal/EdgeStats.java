package io.siskintrail.edge.internal;

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
    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, Histogram> latencies = new TreeMap<>();

    /** Increments a counter. {@code labels} is in metrics page format and may be empty. */
    void increment(String name, String labels) {
        counters.merge(labels.isEmpty() ? name : name + '{' + labels + '}', 1L, Long::sum);
    }

    /** Records the outcome and latency of a request. */
    void recordRequest(CallContext call, String outcome, int code, long millis) {
        String rank = call.route() == null ? "-" : Integer.toString(call.rank());
        increment(
                "siskintrail_edge_requests_total",
                "outcome=\"%s\",code=\"%d\",rank=\"%s\"".formatted(outcome, code, rank));
        recordLatency("siskintrail_edge_request_millis", "rank=\"%s\"".formatted(rank), millis);
        String account = call.accountId() == null ? "-" : call.accountId().value();
        recordLatency(
                "siskintrail_edge_account_millis",
                "account=\"%s\"".formatted(accountLabel(account)),
                millis);
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
        latencies
                .computeIfAbsent(
                        name + '{' + labels,
                        n -> new Histogram(1, MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(1, Math.min(MAX_LATENCY_MILLIS, millis)));
    }

    /** Returns the metrics page. */
    String page() {
        StringBuilder page = new StringBuilder();
        counters.forEach((name, n) -> page.append(name).append(' ').append(n).append('\n'));
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

    private String accountLabel(String account) {
        String key = "siskintrail_edge_account_millis{account=\"%s\"".formatted(account);
        return latencies.containsKey(key) || latencies.size() < MAX_ACCOUNT_HISTOGRAMS
                ? account
                : OTHER_ACCOUNTS;
    }
}
