package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint that was never used is not busy, whatever the clock shows. */
class EndpointViewTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 1L << 40})
    void unusedEndpointHasNoPromptToRead(long now) {
        EndpointView view = new EndpointView(Records.engine("e1", "a"));

        assertThat(view.prefillMillis(now)).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 1L << 40})
    void promptsAreReadOneAfterTheOther(long now) {
        EndpointView view = new EndpointView(Records.engine("e1", "a"));

        view.addPrefill(now, 1_000);
        view.addPrefill(now + 400, 500);

        assertThat(view.prefillMillis(now + 400)).isEqualTo(1_100);
        assertThat(view.prefillMillis(now + 2_000)).isEqualTo(0);
    }
}
