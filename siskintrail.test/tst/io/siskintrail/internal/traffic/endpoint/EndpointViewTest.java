package io.siskintrail.internal.traffic.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.lib.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load of an endpoint at any value of the monotonic clock; an unused endpoint has no load. */
class EndpointViewTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 1L << 40})
    void unusedEndpointHasNoPendingPrefill(long now) {
        EndpointView view = new EndpointView(Records.engine("e1", "a"));

        assertThat(view.totalLoad(now).prefillMillis()).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 1L << 40})
    void prefillTimesOfQueuedPromptsAddUp(long now) {
        EndpointView view = new EndpointView(Records.engine("e1", "a"));

        view.beginPrefill(now, 1_000);
        view.beginPrefill(now + 400, 500);

        assertThat(view.localPrefillMillis(now + 400)).isEqualTo(1_100);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 1L << 40})
    void overduePrefillKeepsMinimumShare(long now) {
        EndpointView view = new EndpointView(Records.engine("e1", "a"));

        view.beginPrefill(now, 1_000);

        assertThat(view.localPrefillMillis(now + 5_000)).isEqualTo(150);
        view.endPrefill(now + 5_000, 1_000);
        assertThat(view.localPrefillMillis(now + 5_000)).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 1L << 40})
    void loadReportOfAnotherHostExpires(long now) {
        EndpointView view = new EndpointView(Records.engine("e1", "a"));
        view.beginRequest(100);

        view.updateRemoteLoad(
                new HostId("h2"), new PlacedLoad(view.record().id(), 2, 500, 800), now);

        assertThat(view.totalLoad(now + 300))
                .isEqualTo(new PlacedLoad(view.record().id(), 3, 600, 500));
        assertThat(view.totalLoad(now + 60_000))
                .isEqualTo(new PlacedLoad(view.record().id(), 1, 100, 0));
    }

    /** The load of a host that ended must not occupy an engine until its last report expires. */
    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 1L << 40})
    void loadOfEndedHostIsRemoved(long now) {
        EndpointView view = new EndpointView(Records.engine("e1", "a"));
        HostId endedHost = new HostId("h2");
        view.updateRemoteLoad(endedHost, new PlacedLoad(view.record().id(), 2, 500, 800), now);
        view.updateRemoteLoad(new HostId("h3"), new PlacedLoad(view.record().id(), 1, 70, 0), now);

        view.removeRemoteLoad(endedHost);

        assertThat(view.totalLoad(now)).isEqualTo(new PlacedLoad(view.record().id(), 1, 70, 0));
    }
}
