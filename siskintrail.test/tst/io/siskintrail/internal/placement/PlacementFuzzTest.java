package io.siskintrail.internal.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementFuzzTest {
    private static final long SETTLE_MILLIS = 1_500;
    private static final long DISTURB_MILLIS = 60_000;
    private static final long CALM_MILLIS = 20_000;

    @Property(seed = "4501", tries = 100, shrinking = ShrinkingMode.OFF)
    void oneLiveOrderGiverAndNoMoreLoadsThanAllowed(@ForAll long seed) {
        PlacementWorld world = new PlacementWorld(seed, SETTLE_MILLIS, false);
        world.disturb(DISTURB_MILLIS);
        boolean settled = world.settles(CALM_MILLIS);
        assertWithMessage("fault").that(world.fault()).isNull();
        assertWithMessage("engines are as the rules want them").that(settled).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1500, true"})
    void missingWaitOrLeaseIsNoticed(long settleMillis, boolean ignoresLease) {
        boolean noticed = false;
        for (int seed = 0; seed < 300 && !noticed; seed++) {
            PlacementWorld world = new PlacementWorld(seed, settleMillis, ignoresLease);
            world.disturb(DISTURB_MILLIS);
            noticed = world.fault() != null;
        }
        assertThat(noticed).isTrue();
    }
}
