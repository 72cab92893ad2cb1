package io.siskintrail.edge.internal;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.siskintrail.internal.traffic.configuration.Account;
import io.siskintrail.lib.AccountId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Series of the metrics page. */
class EdgeStatsTest {
    private final EdgeStats stats = new EdgeStats();

    /** Guards against series that change their names or are counted apart. */
    @Test
    void requestsAreCountedByOutcome() {
        stats.recordRequest(callOf("acme"), "answered", 0, 7);
        stats.recordRequest(callOf("acme"), "answered", 0, 7);
        stats.recordRequest(callOf("acme"), "refused", 5012, 7);

        assertThat(stats.page().lines().toList())
                .containsAtLeast(
                        "siskintrail_edge_requests_total{outcome=\"answered\",code=\"0\","
                                + "rank=\"-\"} 2",
                        "siskintrail_edge_requests_total{outcome=\"refused\",code=\"5012\","
                                + "rank=\"-\"} 1",
                        "siskintrail_edge_request_millis_count{rank=\"-\"} 3",
                        "siskintrail_edge_account_millis_count{account=\"acme\"} 3");
    }

    /** Guards against memory that grows with the number of client accounts. */
    @Test
    void furtherAccountsShareOneSeries() {
        for (int i = 0; i < 100; i++) {
            stats.recordRequest(callOf("a" + i), "answered", 0, 7);
        }

        List<String> series =
                stats.page()
                        .lines()
                        .filter(line -> line.startsWith("siskintrail_edge_account_millis_count"))
                        .toList();
        assertThat(series).hasSize(64);
        assertThat(series).contains("siskintrail_edge_account_millis_count{account=\"others\"} 37");
    }

    private static CallContext callOf(String account) {
        CallContext call = new CallContext("GET", "/", new DefaultHttpHeaders(), new byte[0], 0);
        call.setAccount(new Account(new AccountId(account), List.of("key"), 1));
        return call;
    }
}
