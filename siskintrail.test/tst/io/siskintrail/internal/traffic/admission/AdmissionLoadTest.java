package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays a flood of a low rank and a large account on many hosts that share a few places. Each case
 * also shows that it fails when every host decides by itself.
 */
class AdmissionLoadTest {
    private static final long RUN_MILLIS = 30_000;

    /** Starts per second that the places allow. */
    private static final double CAPACITY =
            1_000.0 * AdmissionSimulation.PLACES / AdmissionSimulation.SERVICE_MILLIS;

    /**
     * Time until a place becomes free, and until the host that has it knows of the request, and the
     * host that has the request knows of the place.
     */
    private static final double ONE_START_MILLIS =
            1_000 / CAPACITY
                    + 2 * (AdmissionSimulation.MAX_DELAY_MILLIS + AdmissionSimulation.POLL_MILLIS);

    /** One start in eight, less what the random arrivals vary in a run. */
    private static final double FLOOR = 0.9 / 8;

    private static final AdmissionSimulation.Flow URGENT =
            new AdmissionSimulation.Flow(0, 1, 0.25 * CAPACITY, AdmissionSimulation.HOSTS);

    private static List<AdmissionSimulation.Start> play(
            long seed, boolean isShared, AdmissionSimulation.Flow... flows) {
        AdmissionSimulation simulation = new AdmissionSimulation(seed, isShared, 0.05);
        for (AdmissionSimulation.Flow flow : flows) {
            simulation.with(flow);
        }
        return simulation.run(RUN_MILLIS);
    }

    private static double meanWait(
            List<AdmissionSimulation.Start> starts, Predicate<AdmissionSimulation.Start> which) {
        return starts.stream()
                .filter(which)
                .mapToLong(AdmissionSimulation.Start::waitedMillis)
                .average()
                .orElse(0);
    }

    private static double share(
            List<AdmissionSimulation.Start> starts, Predicate<AdmissionSimulation.Start> which) {
        return (double) starts.stream().filter(which).count() / starts.size();
    }

    /** Guards against urgent requests that wait behind a flood of another rank at other hosts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void floodDelaysUrgentRequestsByOneStartAtMost(long seed) {
        AdmissionSimulation.Flow flood =
                new AdmissionSimulation.Flow(2, 1, 2.5 * CAPACITY, AdmissionSimulation.HOSTS);
        double alone = meanWait(play(seed, true, URGENT), s -> true);
        double shared = meanWait(play(seed, true, URGENT, flood), s -> s.rank() == 0);
        double apart = meanWait(play(seed, false, URGENT, flood), s -> s.rank() == 0);
        assertWithMessage("wait in one order").that(shared).isAtMost(alone + ONE_START_MILLIS);
        assertWithMessage("wait if each decides")
                .that(apart)
                .isGreaterThan(alone + ONE_START_MILLIS);
    }

    /** Guards against a rank that has no start while more urgent requests wait. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void lowerRankKeepsItsFloor(long seed) {
        AdmissionSimulation.Flow flood =
                new AdmissionSimulation.Flow(0, 1, 2 * CAPACITY, AdmissionSimulation.HOSTS);
        AdmissionSimulation.Flow bulk =
                new AdmissionSimulation.Flow(2, 1, 0.5 * CAPACITY, AdmissionSimulation.HOSTS);
        double shared = share(play(seed, true, flood, bulk), s -> s.rank() == 2);
        double apart = share(play(seed, false, flood, bulk), s -> s.rank() == 2);

        assertThat(shared).isAtLeast(FLOOR);
        assertThat(shared).isAtMost(0.2);
        assertThat(apart).isLessThan(FLOOR);
    }

    /** Guards against a large account at many hosts that pushes out a small one at two. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void largeAccountDoesNotPushOutSmallOne(long seed) {
        AdmissionSimulation.Flow large =
                new AdmissionSimulation.Flow(1, 1, 2.5 * CAPACITY, AdmissionSimulation.HOSTS);
        AdmissionSimulation.Flow small = new AdmissionSimulation.Flow(1, 2, 0.25 * CAPACITY, 2);
        double shared = meanWait(play(seed, true, large, small), s -> s.account() == 2);
        double apart = meanWait(play(seed, false, large, small), s -> s.account() == 2);

        assertThat(shared).isAtMost((double) AdmissionSimulation.SERVICE_MILLIS);
        assertThat(apart).isGreaterThan((double) AdmissionSimulation.SERVICE_MILLIS);
    }
}
