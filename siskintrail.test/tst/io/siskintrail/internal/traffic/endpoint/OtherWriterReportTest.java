package io.siskintrail.internal.traffic.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static io.siskintrail.internal.traffic.endpoint.EndpointState.DRAINING;
import static io.siskintrail.internal.traffic.endpoint.EndpointState.GONE;
import static io.siskintrail.internal.traffic.endpoint.EndpointState.READY;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reports whose service, start or address contradicts what is known of an endpoint. */
class OtherWriterReportTest {
    private static final Set<ServiceName> SERVICES =
            Set.of(new ServiceName("app"), new ServiceName("other"));

    private final EndpointDirectory directory = new EndpointDirectory(5_000, 60_000);

    /** Guards against an endpoint that is unknown because of a service that nobody configured. */
    @ParameterizedTest
    @CsvSource({
        "a, true, true", "a, true, false", "a, false, true", "a, false, false",
        "b, true, true", "b, true, false", "b, false, true", "b, false, false"
    })
    void reportOfAnUnknownServiceChangesNothing(
            String writtenId, boolean writtenFirst, boolean configured) {
        if (configured) {
            directory.setServices(SERVICES, 0);
        }
        EndpointRecord own = record("a", 10, 4, "app", "h:1", READY);
        EndpointRecord written = record(writtenId, 20, 1, "nobody", "h:1", READY);
        directory.mergeReport(writtenFirst ? written : own, 100);
        directory.mergeReport(writtenFirst ? own : written, 200);
        directory.setServices(SERVICES, 250);

        assertThat(directory.get(new EndpointId("a"))).isEqualTo(own);
        EndpointRecord draining = record("a", 10, 5, "app", "h:1", DRAINING);
        assertThat(directory.mergeReport(draining, 300)).containsExactly(draining);
        assertThat(directory.get(new EndpointId("a"))).isEqualTo(draining);
    }

    /** Guards against an ended endpoint that stays in use after its address or id moved on. */
    @ParameterizedTest
    @CsvSource({
        "a, true, true", "a, true, false", "a, false, true", "a, false, false",
        "b, true, true", "b, true, false", "b, false, true", "b, false, false"
    })
    void laterStartOfAnotherConfiguredServiceTakesOver(
            String nextId, boolean nextFirst, boolean configuredFirst) {
        if (configuredFirst) {
            directory.setServices(SERVICES, 0);
        }
        EndpointRecord old = record("a", 10, 4, "app", "h:1", READY);
        EndpointRecord next = record(nextId, 20, 1, "other", "h:1", READY);
        directory.mergeReport(nextFirst ? next : old, 100);
        directory.mergeReport(nextFirst ? old : next, 200);
        directory.setServices(SERVICES, 250);

        assertThat(liveRecords()).containsExactly(next);
        directory.mergeReport(record("a", 10, 5, "app", "h:1", READY), 300);
        assertThat(liveRecords()).containsExactly(next);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void contradictingReportsInAnyOrderGiveTheSameResult(long seed) {
        List<EndpointRecord> reports =
                new ArrayList<>(
                        List.of(
                                record("a", 10, 1, "app", "h:1", READY),
                                record("a", 10, 3, "app", "h:1", DRAINING),
                                record("a", 30, 1, "nobody", "h:1", READY),
                                record("x", 40, 1, "nobody", "h:2", READY),
                                record("b", 15, 4, "app", "h:2", READY),
                                record("c", 12, 4, "app", "h:3", READY),
                                record("d", 18, 4, "other", "h:3", READY)));
        Collections.shuffle(reports, new Random(seed));
        reports.subList(0, 3).forEach(r -> directory.mergeReport(r, 100));
        directory.setServices(SERVICES, 150);
        reports.subList(3, reports.size()).forEach(r -> directory.mergeReport(r, 200));

        assertThat(directory.get(new EndpointId("a")).state()).isEqualTo(DRAINING);
        assertThat(directory.get(new EndpointId("b")).state()).isEqualTo(READY);
        assertThat(directory.get(new EndpointId("d")).state()).isEqualTo(READY);
        EndpointRecord superseded = directory.get(new EndpointId("c"));
        assertThat(superseded == null || superseded.state() == GONE).isTrue();
    }

    /** Guards against a report without a start that ends an endpoint at another address. */
    @Test
    void reportWithoutAStartFromAnotherAddressChangesNothing() {
        directory.mergeReport(record("a", 10, 1, "app", "h:1", READY), 0);

        assertThat(directory.mergeReport(record("a", 0, 9, "app", "h:2", DRAINING), 10)).isEmpty();
        assertThat(directory.mergeReport(record("a", 0, 9, "app", "h:1", DRAINING), 20)).hasSize(1);
    }

    /** Guards against records of one id that are forgotten or found under one service only. */
    @Test
    void recordsOfAnIdAreFoundUnderEachService() {
        directory.mergeReport(record("a", 10, 1, "app", "h:1", READY), 0);
        directory.mergeReport(record("a", 20, 1, "nobody", "h:1", READY), 0);

        assertThat(directory.recordsOf(new EndpointId("a"))).hasSize(2);
        directory.expire(5_001);
        directory.expire(60_001);
        assertThat(directory.recordsOf(new EndpointId("a"))).isEmpty();
        assertThat(directory.get(new EndpointId("a"))).isNull();
    }

    private List<EndpointRecord> liveRecords() {
        return directory.records().stream().filter(r -> r.state() != GONE).toList();
    }

    private static EndpointRecord record(
            String id,
            long incarnation,
            long sequence,
            String service,
            String address,
            EndpointState state) {
        return new EndpointRecord(
                new EndpointId(id),
                incarnation,
                sequence,
                new ServiceName(service),
                address,
                new FailureDomain("a"),
                12,
                0,
                state);
    }
}
