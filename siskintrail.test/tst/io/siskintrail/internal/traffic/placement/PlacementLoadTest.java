package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Places streams with and without the speeds of engines and the choice among nearly equal ones.
 * Nine in ten engines of a failure domain are lost for 1.2 s at a time and come back empty, which
 * all hosts see at the same moment.
 */
class PlacementLoadTest {
    private static final double STREAMS_PER_SECOND = 27;
    private static final long RUN_MILLIS = 120_000;

    /**
     * Guards against streams that pile up on the engines of a lost domain that are left, because
     * all hosts of the domain prefer them.
     */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "1, 1, 2", "0.7, 1.7, 1", "0.7, 1.7, 2"})
    void noEngineGetsMuchMoreThanTheMeanOfItsSpeed(double slow, double fast, long seed) {
        PlacementLoad load = runWithLosses(seed, true, slow, fast);
        PlacementLoad byLoadAlone = runWithLosses(seed, false, slow, fast);

        assertThat(load.mostSendsOfMean()).isLessThan(1.3);
        assertThat(byLoadAlone.mostSendsOfMean()).isGreaterThan(1.4);
        assertThat(load.firstEventMillis(0.95))
                .isLessThan(0.7 * byLoadAlone.firstEventMillis(0.95));
    }

    /** Guards against engines of unequal speed getting the same work, which makes prompts wait. */
    @ParameterizedTest
    @CsvSource({"1, 22", "2, 22", "1, 40"})
    void fastEnginesGetMoreAndFirstEventsComeEarlier(long seed, double streamsPerSecond) {
        PlacementLoad load =
                new PlacementLoad(seed, true, 0.7, 0.7, 1.7).run(streamsPerSecond, RUN_MILLIS);
        PlacementLoad byLoadAlone =
                new PlacementLoad(seed, false, 0.7, 0.7, 1.7).run(streamsPerSecond, RUN_MILLIS);

        assertThat(load.sendsPerEngine(1.7)).isGreaterThan(1.7 / 0.7 * load.sendsPerEngine(0.7));
        assertThat(byLoadAlone.sendsPerEngine(1.7))
                .isLessThan(1.7 / 0.7 * byLoadAlone.sendsPerEngine(0.7));
        assertThat(load.meanFirstEventMillis())
                .isLessThan(0.9 * byLoadAlone.meanFirstEventMillis());
    }

    private static PlacementLoad runWithLosses(
            long seed, boolean withSpeeds, double slow, double fast) {
        return new PlacementLoad(seed, withSpeeds, slow, slow, fast)
                .withLosses(RUN_MILLIS)
                .run(STREAMS_PER_SECOND, RUN_MILLIS);
    }
}
