package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks positions over several hosts, also with late, repeated and lost reports. */
class AdmissionOrderTest {
    private static final ServiceName SERVICE = new ServiceName("chat");
    private static final HostId OTHER = new HostId("other");
    private static final long TOKENS = 9_000;
    private static final long NEVER = Long.MAX_VALUE / 2;
    private final AdmissionOrder<String> order = new AdmissionOrder<>();

    private AdmissionOrder.Waiting<String> add(String item, int rank, int account, long since) {
        return order.add(
                item, new AdmissionOrder.Request(rank, account, since, NEVER, TOKENS, false));
    }

    private static WaitingRequest remote(int rank, int account, long waited, long remaining) {
        return new WaitingRequest(SERVICE, rank, account, waited, remaining, TOKENS, false);
    }

    private void report(long now, int starts, WaitingRequest... waiting) {
        order.applyReport(OTHER, now, Optional.of(List.of(waiting)), starts);
    }

    private List<String> items(long now) {
        return order.ordered(now).stream().map(AdmissionOrder.Waiting::item).toList();
    }

    private int position(AdmissionOrder.Waiting<String> waiting, long now) {
        order.ordered(now);
        return waiting.position();
    }

    /** Guards against a new request that overtakes a more urgent one at another host. */
    @Test
    void urgentRequestOfAnotherHostGoesFirst() {
        report(0, 0, remote(0, 1, 0, 2_000));

        assertThat(position(add("bulk", 2, 1, -5_000), 0)).isEqualTo(1);
        assertThat(position(add("urgent", 0, 1, -100), 0)).isEqualTo(0);
    }

    @Test
    void resumptionGoesFirstWithinItsRank() {
        add("new", 1, 1, 0);
        order.add("resumed", new AdmissionOrder.Request(1, 1, 50, NEVER, TOKENS, true));
        add("urgent", 0, 1, 100);

        assertThat(items(100)).containsExactly("urgent", "resumed", "new").inOrder();
    }

    /** Guards against starvation of a rank by steady arrivals of a more urgent one. */
    @Test
    void lowerRankHasOneStartInEight() {
        AdmissionOrder.Waiting<String> bulk = add("bulk", 2, 1, 0);
        int starts = 0;
        while (order.contains(bulk)) {
            add("urgent", 0, 1, starts);
            AdmissionOrder.Waiting<String> first = order.ordered(starts).get(0);
            order.remove(first);
            order.recordStart(first.request());
            starts++;
        }

        assertThat(starts).isEqualTo(8);
    }

    /** Guards against an account with many waiting requests that takes all starts. */
    @Test
    void accountsTakeTurns() {
        for (int i = 0; i < 6; i++) {
            add("large-" + i, 1, 1, i);
        }
        add("small-0", 1, 2, 1_000);
        for (int i = 0; i < 2; i++) {
            AdmissionOrder.Waiting<String> first = order.ordered(1_000).get(0);
            order.remove(first);
            order.recordStart(first.request());
        }
        add("small-1", 1, 2, 1_001);

        assertThat(items(1_001).subList(0, 2)).containsExactly("large-1", "small-1");
    }

    /** Guards against two hosts that take one place: they agree on who goes first. */
    @Test
    void hostsAgreeOnTheOrder() {
        AdmissionOrder<String> second = new AdmissionOrder<>();
        AdmissionOrder.Waiting<String> here = add("here", 0, 1, 0);
        AdmissionOrder.Waiting<String> there =
                second.add("there", new AdmissionOrder.Request(0, 2, 300, NEVER, TOKENS, false));
        order.applyReport(OTHER, 400, Optional.of(second.report(SERVICE, 400)), 0);
        second.applyReport(new HostId("first"), 400, Optional.of(order.report(SERVICE, 400)), 0);
        second.ordered(400);

        assertThat(List.of(position(here, 400), there.position())).containsExactly(0, 1);
    }

    /** Guards against turns that are counted twice when a report arrives twice or is late. */
    @Test
    void repeatedReportChangesNothing() {
        report(0, 0, remote(0, 1, 0, 9_000), remote(0, 1, 600, 9_000));
        add("a", 0, 1, -2_000);
        add("b", 0, 2, -1_000);
        report(100, 1, remote(0, 1, 100, 8_900));
        report(100, 0, remote(0, 1, 100, 8_900));
        report(200, 0, remote(0, 1, 100, 8_900));

        // Account 1 has had one start, so that account 2 goes first now.
        assertThat(items(200)).containsExactly("b", "a").inOrder();
        assertThat(order.remoteSize(200)).isEqualTo(1);
    }

    /** Guards against a cancelled request that counts as a start of its account. */
    @Test
    void requestThatEndedWithoutStartTakesNoTurn() {
        report(0, 0, remote(0, 1, 0, 9_000));
        add("a", 0, 1, -2_000);
        add("b", 0, 2, -1_000);
        report(100, 0);

        assertThat(items(100)).containsExactly("a", "b").inOrder();
    }

    /** Guards against places that a host holds back that cannot report, or that lost its report. */
    @ParameterizedTest
    @ValueSource(longs = {1_500, 60_000})
    void entriesOfSilentHostExpire(long remainingMillis) {
        report(0, 0, remote(0, 1, 0, remainingMillis));
        AdmissionOrder.Waiting<String> bulk = add("bulk", 2, 1, 0);
        long expiry = Math.min(remainingMillis, AdmissionOrder.MAX_REPORT_AGE_MILLIS);

        assertThat(position(bulk, expiry - 1)).isEqualTo(1);
        assertThat(position(bulk, expiry)).isEqualTo(0);
    }

    /** The registry reports an empty list for a host that ended. */
    @Test
    void entriesOfEndedHostAreDropped() {
        report(0, 0, remote(0, 1, 0, 9_000));
        AdmissionOrder.Waiting<String> bulk = add("bulk", 2, 1, 0);
        report(100, 0);

        assertThat(position(bulk, 100)).isEqualTo(0);
    }

    /** A paused host reports its whole queue when it runs again. */
    @Test
    void hostThatReturnsTakesItsPositionsAgain() {
        report(0, 0, remote(0, 1, 0, 60_000));
        AdmissionOrder.Waiting<String> bulk = add("bulk", 2, 1, 0);
        assertThat(position(bulk, 5_000)).isEqualTo(0);
        report(5_000, 0, remote(0, 1, 5_000, 55_000));

        assertThat(position(bulk, 5_000)).isEqualTo(1);
    }

    @Test
    void unchangedRequestsAreKept() {
        report(0, 0, remote(0, 1, 0, 9_000));
        order.applyReport(OTHER, 100, Optional.empty(), 1);

        assertThat(order.remoteSize(100)).isEqualTo(1);
    }

    /** Guards against large requests that wait while small ones take each place. */
    @Test
    void placesAreCountedForTheLargestRequestAhead() {
        order.add("large", new AdmissionOrder.Request(1, 1, 0, NEVER, 4 * TOKENS, false));
        AdmissionOrder.Waiting<String> small = add("small", 1, 1, 1);
        order.ordered(1);

        assertThat(small.maxTokens()).isEqualTo(4 * TOKENS);
    }

    @Test
    void reportHoldsTheFirstRequests() {
        IntStream.range(0, 40).forEach(i -> add("bulk-" + i, 2, 1, i));
        add("urgent", 0, 1, 50);

        List<WaitingRequest> report = order.report(SERVICE, 100);

        assertThat(report).hasSize(AdmissionOrder.MAX_REPORTED);
        assertThat(report.get(0).rank()).isEqualTo(0);
        assertThat(report.get(1).waitedMillis()).isEqualTo(100);
    }
}
