package io.siskintrail.internal.traffic.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.placement.CallPlacement;
import io.siskintrail.internal.traffic.placement.StreamPlacement;
import io.siskintrail.lib.FailureDomain;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints that ask for a pause, and endpoints that say that they leave. */
class PushBackTest {
    private static final long NOW = 50_000;
    private static final long PAUSE_MILLIS = 3_000;
    private static final long LATER = NOW + PAUSE_MILLIS;

    private final EndpointView first = new EndpointView(Records.engine("e1", "a"));
    private final EndpointView second = new EndpointView(Records.engine("e2", "a"));
    private final CallPlacement calls = new CallPlacement(new FailureDomain("a"));
    private final StreamPlacement streams = new StreamPlacement(new FailureDomain("a"), () -> 0);

    @Test
    void endpointGetsNothingUntilTheEndOfItsPause() {
        first.pushBack().record(NOW, PAUSE_MILLIS, 0);
        assertThat(first.acceptsRequests(LATER - 1)).isFalse();
        assertThat(first.acceptsRequests(LATER)).isTrue();
    }

    @Test
    void laterShorterPauseDoesNotEndALongerOne() {
        first.pushBack().record(NOW, PAUSE_MILLIS, 0);
        first.pushBack().record(NOW + 100, 10, 0);
        assertThat(first.acceptsRequests(LATER - 1)).isFalse();
    }

    /** Guards against a crowd of waiting requests that arrives at the end of a pause. */
    @Test
    void oneRequestTriesTheEndpointAfterItsPause() {
        first.beginRequest(0);
        first.pushBack().record(NOW, PAUSE_MILLIS, 1);
        assertThat(first.acceptsRequests(LATER)).isTrue();
        first.beginRequest(0);
        assertThat(first.acceptsRequests(LATER)).isFalse();
        first.pushBack().recordAccepted(LATER + 10);
        assertThat(first.acceptsRequests(LATER + 10)).isTrue();
    }

    @Test
    void trialThatEndsWithoutAnswerMakesRoomForAnother() {
        first.pushBack().record(NOW, PAUSE_MILLIS, 0);
        first.beginRequest(0);
        assertThat(first.acceptsRequests(LATER)).isFalse();
        first.endRequest(0);
        assertThat(first.acceptsRequests(LATER)).isTrue();
    }

    @Test
    void answerOfAnOlderRequestDoesNotEndThePause() {
        first.pushBack().record(NOW, PAUSE_MILLIS, 1);
        first.pushBack().recordAccepted(NOW + 100);
        assertThat(first.acceptsRequests(NOW + 200)).isFalse();
        first.beginRequest(0);
        first.beginRequest(0);
        assertThat(first.acceptsRequests(LATER)).isFalse();
    }

    @Test
    void pauseOfAServiceIsThatOfTheEndpointThatReturnsFirst() {
        List<EndpointView> both = List.of(first, second);
        first.pushBack().record(NOW, PAUSE_MILLIS, 0);
        assertThat(PushBack.remainingMillis(NOW, both)).isEqualTo(0);
        second.pushBack().record(NOW, 2 * PAUSE_MILLIS, 0);
        assertThat(PushBack.remainingMillis(NOW + 1_000, both)).isEqualTo(PAUSE_MILLIS - 1_000);
        first.markLeaving();
        assertThat(PushBack.remainingMillis(NOW, both)).isEqualTo(2 * PAUSE_MILLIS);
        second.markLeaving();
        assertThat(PushBack.remainingMillis(NOW, both)).isEqualTo(0);
    }

    /** Load pattern: every endpoint of a service is full at once and says so. */
    @Test
    void noRequestIsPlacedWhileAllEndpointsPushBack() {
        List<EndpointView> both = List.of(first, second);
        both.forEach(e -> e.pushBack().record(NOW, PAUSE_MILLIS, 0));
        int placed = 0;
        for (long now = NOW; now < LATER; now += 40) {
            placed += calls.choose(now, both, e -> true) == null ? 0 : 1;
        }
        assertThat(placed).isEqualTo(0);
        assertThat(calls.choose(LATER, both, e -> true)).isNotNull();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endpointThatLeavesOrPushesBackIsNotChosen(boolean leaves) {
        if (leaves) {
            first.markLeaving();
        } else {
            first.pushBack().record(NOW, PAUSE_MILLIS, 0);
        }
        second.beginRequest(0);
        List<EndpointView> both = List.of(first, second);
        EngineSpec spec = null;
        EndpointView primary = new EndpointView(Records.engine("e3", "b"));

        assertThat(calls.choose(NOW, both, e -> true)).isEqualTo(second);
        EndpointView chosen =
                streams.choose(NOW, both, spec, 10, 1_000, first.record().id(), e -> true);
        assertThat(chosen).isEqualTo(second);
        assertThat(streams.chooseCopy(NOW, both, spec, 10, primary)).isEqualTo(second);
    }

    @Test
    void laterReportOfTheSameIncarnationDoesNotTakeLeavingBack() {
        assertThat(first.markLeaving()).isTrue();
        assertThat(first.markLeaving()).isFalse();
        first.update(Records.at("e1", 1, 2, "e1:80", "a", EndpointState.READY));
        assertThat(first.acceptsRequests(NOW)).isFalse();
    }

    @Test
    void directoryKeepsADrainingIncarnationFromBecomingReadyAgain() {
        EndpointDirectory directory = new EndpointDirectory(5_000, 100_000);
        directory.mergeReport(Records.at("e1", 7, 1, "e1:80", "a", EndpointState.READY), NOW);
        directory.mergeReport(Records.at("e1", 7, 1, "e1:80", "a", EndpointState.DRAINING), NOW);
        EndpointRecord late = Records.at("e1", 7, 2, "e1:80", "a", EndpointState.READY);
        assertThat(directory.mergeReport(late, NOW)).isEmpty();
        assertThat(directory.get(late.id()).state()).isEqualTo(EndpointState.DRAINING);
        EndpointRecord restarted = Records.at("e1", 8, 1, "e1:80", "a", EndpointState.READY);
        assertThat(directory.mergeReport(restarted, NOW)).containsExactly(restarted);
    }
}
