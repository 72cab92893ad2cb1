package io.siskintrail.internal.traffic.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static io.siskintrail.internal.traffic.endpoint.EndpointState.DRAINING;
import static io.siskintrail.internal.traffic.endpoint.EndpointState.GONE;
import static io.siskintrail.internal.traffic.endpoint.EndpointState.READY;
import static io.siskintrail.internal.traffic.endpoint.EndpointState.SILENT;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The state of the directory does not depend on the order in which reports arrive. */
class EndpointDirectoryTest {
    private static final long SILENT_AFTER_MILLIS = 5_000;
    private static final long FORGET_AFTER_MILLIS = 60_000;

    private final EndpointDirectory directory =
            new EndpointDirectory(SILENT_AFTER_MILLIS, FORGET_AFTER_MILLIS);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void reportsInAnyOrderGiveSameResult(long seed) {
        List<EndpointRecord> reports =
                new ArrayList<>(
                        List.of(
                                record("a", 10, 1, "h1:1", READY),
                                record("a", 10, 7, "h1:1", DRAINING),
                                record("a", 10, 8, "h1:1", GONE),
                                record("a", 20, 1, "h1:1", READY),
                                record("b", 15, 4, "h2:1", READY),
                                record("b", 15, 9, "h2:1", DRAINING)));
        Collections.shuffle(reports, new Random(seed));

        reports.forEach(r -> directory.mergeReport(r, 100));

        assertThat(directory.get(new EndpointId("a")).incarnation()).isEqualTo(20);
        assertThat(directory.get(new EndpointId("a")).state()).isEqualTo(READY);
        assertThat(directory.get(new EndpointId("b")).state()).isEqualTo(DRAINING);
    }

    @Test
    void lateReportOfEndedIncarnationIsIgnored() {
        directory.mergeReport(record("a", 10, 5, "h1:1", GONE), 100);

        assertThat(directory.mergeReport(record("a", 10, 9, "h1:1", READY), 200)).isEmpty();
        assertThat(directory.get(new EndpointId("a")).state()).isEqualTo(GONE);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void addressBelongsToLatestStartedEndpoint(boolean newerFirst) {
        EndpointRecord older = record("old", 10, 5, "h1:1", READY);
        EndpointRecord newer = record("new", 20, 1, "h1:1", READY);

        directory.mergeReport(newerFirst ? newer : older, 100);
        directory.mergeReport(newerFirst ? older : newer, 200);

        assertThat(directory.get(new EndpointId("new")).state()).isEqualTo(READY);
        EndpointRecord superseded = directory.get(new EndpointId("old"));
        assertThat(superseded == null || superseded.state() == GONE).isTrue();
    }

    @Test
    void renewalReportsNoChange() {
        assertThat(directory.mergeReport(record("a", 10, 1, "h1:1", READY), 0)).hasSize(1);
        assertThat(directory.mergeReport(record("a", 10, 2, "h1:1", READY), 1_000)).isEmpty();
        assertThat(directory.expire(SILENT_AFTER_MILLIS + 500)).isEmpty();
    }

    @Test
    void silentEndpointIsReadyAfterNextReport() {
        directory.mergeReport(record("a", 10, 1, "h1:1", READY), 0);

        assertThat(directory.expire(SILENT_AFTER_MILLIS + 1)).hasSize(1);
        assertThat(directory.get(new EndpointId("a")).state()).isEqualTo(SILENT);
        assertThat(
                        directory.mergeReport(
                                record("a", 10, 2, "h1:1", READY), SILENT_AFTER_MILLIS + 2))
                .hasSize(1);
    }

    @Test
    void goneReportWithoutIncarnationEndsKnownIncarnation() {
        directory.mergeReport(record("a", 10, 1, "h1:1", READY), 0);

        directory.mergeReport(record("a", 0, 0, "h1:1", GONE), 10);

        assertThat(directory.get(new EndpointId("a")).state()).isEqualTo(GONE);
        directory.mergeReport(record("a", 30, 1, "h1:1", READY), 20);
        assertThat(directory.get(new EndpointId("a")).state()).isEqualTo(READY);
    }

    private static EndpointRecord record(
            String id, long incarnation, long sequence, String address, EndpointState state) {
        return Records.at(id, incarnation, sequence, address, "a", state);
    }
}
