package io.siskintrail.edge.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.rollout.RolloutRecord.Status;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Endpoints of a version that must not receive the traffic of its service. */
class ExcludedVersionTest {
    private static final ServiceName SERVICE = new ServiceName("s");

    private final EndpointTable table = new EndpointTable(endpoint -> {});

    /** Guards against requests that reach a version before, or after, a rollout allows them. */
    @ParameterizedTest
    @CsvSource({"RUNNING, old;none", "ROLLED_BACK, old;none", "COMPLETED, old;none;new"})
    void versionOfARolloutIsLeftOut(Status status, String expected) {
        reportAll();
        table.applyRollouts(List.of(rollout("v2", 1, status)));

        assertThat(usable()).isEqualTo(expected);
    }

    /** Guards against a registry that is behind and brings an ended rollout back. */
    @Test
    void olderStateChangesNothing() {
        reportAll();
        table.applyRollouts(List.of(rollout("v2", 1, Status.COMPLETED)));
        table.applyRollouts(List.of(rollout("v2", 1, Status.RUNNING)));
        assertThat(usable()).isEqualTo("old;none;new");

        table.applyRollouts(List.of(rollout("v1", 2, Status.RUNNING)));
        table.applyRollouts(List.of(rollout("v2", 1, Status.COMPLETED)));
        assertThat(usable()).isEqualTo("none;new");
    }

    /** Guards against a service that is not served at all because of a rollout of the past. */
    @Test
    void onlyVersionOfAServiceIsUsed() {
        table.applyRollouts(List.of(rollout("v2", 1, Status.ROLLED_BACK)));
        table.applyReports(List.of(record("new", "v2")));

        assertThat(usable()).isEqualTo("new");
    }

    private void reportAll() {
        table.applyReports(List.of(record("old", "v1"), record("none", ""), record("new", "v2")));
    }

    private String usable() {
        List<String> ids =
                table.ofService(SERVICE).stream().map(e -> e.record().id().value()).toList();
        return String.join(";", ids);
    }

    private static RolloutRecord rollout(String to, long number, Status status) {
        RolloutOrder order = new RolloutOrder(SERVICE, new EndpointVersion(to), 12_000);
        return new RolloutRecord(order, number, 0, status);
    }

    private static EndpointRecord record(String id, String version) {
        return new EndpointRecord(
                new EndpointId(id),
                1,
                1,
                SERVICE,
                "10.0.0.1:" + (80 + "old none new".indexOf(id)),
                new FailureDomain("d"),
                4,
                0,
                EndpointState.READY,
                new EndpointVersion(version));
    }
}
