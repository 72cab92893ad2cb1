package io.siskintrail.edge.internal;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counters and latency histograms of an edge, by client account and rank. Used on the event loop.
 */
final class EdgeStats {
    private static final long HIGHEST_MILLIS = 120_000;
    private static final int DIGITS = 2;
    private static final double[] QUANTILES = {50, 95, 99};

    /** Accounts that get series of their own; the others share one. */
    private static final int MAX_ACCOUNTS = 64;

    private static final String OTHERS = "others";
    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, Histogram> latencies = new TreeMap<>();

    /** Adds one to a counter; {@code labels} in the form of a metrics page, may be empty. */
    void count(String name, String labels) {
        counters.merge(labels.isEmpty() ? name : name + '{' + labels + '}', 1L, Long::sum);
    }

    /** Notes the end of a request. */
    void ended(CallContext call, String outcome, int code, long millis) {
        String rank = call.route() == null ? "-" : Integer.toString(call.rank());
        count(
                "siskintrail_edge_requests_total",
                "outcome=\"%s\",code=\"%d\",rank=\"%s\"".formatted(outcome, code, rank));
        latency("siskintrail_edge_request_millis", "rank=\"%s\"".formatted(rank), millis);
        String account = call.accountId() == null ? "-" : call.accountId().value();
        latency(
                "siskintrail_edge_account_millis",
                "account=\"%s\"".formatted(accountLabel(account)),
                millis);
    }

    /** Adds a value to a histogram. */
    void latency(String name, String labels, long millis) {
        latencies
                .computeIfAbsent(name + '{' + labels, n -> new Histogram(1, HIGHEST_MILLIS, DIGITS))
                .recordValue(Math.max(1, Math.min(HIGHEST_MILLIS, millis)));
    }

    /** Returns the page that metrics are read from. */
    String page() {
        StringBuilder page = new StringBuilder();
        counters.forEach((name, n) -> page.append(name).append(' ').append(n).append('\n'));
        latencies.forEach(
                (name, h) -> {
                    for (double q : QUANTILES) {
                        page.append(name)
                                .append(",quantile=\"")
                                .append(q / 100)
                                .append("\"} ")
                                .append(h.getValueAtPercentile(q))
                                .append('\n');
                    }
                    page.append(name.replaceFirst("\\{", "_count{"))
                            .append("} ")
                            .append(h.getTotalCount())
                            .append('\n');
                });
        return page.toString();
    }

    private String accountLabel(String account) {
        String key = "siskintrail_edge_account_millis{account=\"%s\"".formatted(account);
        return latencies.containsKey(key) || latencies.size() < MAX_ACCOUNTS ? account : OTHERS;
    }
}
