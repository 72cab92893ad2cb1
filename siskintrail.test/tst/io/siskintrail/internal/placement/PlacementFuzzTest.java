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
    private static final long FAULT_PHASE_MILLIS = 60_000;
    private static final long RECOVERY_MILLIS = 20_000;

    @Property(seed = "4501", tries = 100, shrinking = ShrinkingMode.OFF)
    void onlyTheLeaseHolderSendsOrdersAndLoadsStayWithinTheLimit(@ForAll long seed) {
        PlacementSimulation simulation = new PlacementSimulation(seed, SETTLE_MILLIS, false);
        simulation.runWithFaults(FAULT_PHASE_MILLIS);
        boolean recovered = simulation.endFaultsAndCheckRecovery(RECOVERY_MILLIS);
        assertWithMessage("violated invariant").that(simulation.violation()).isNull();
        assertWithMessage("engines match the placement rules").that(recovered).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1500, true"})
    void detectsMissingSettleTimeOrIgnoredLease(long settleMillis, boolean controllersIgnoreLease) {
        boolean detected = false;
        for (int seed = 0; seed < 300 && !detected; seed++) {
            PlacementSimulation simulation =
                    new PlacementSimulation(seed, settleMillis, controllersIgnoreLease);
            simulation.runWithFaults(FAULT_PHASE_MILLIS);
            detected = simulation.violation() != null;
        }
        assertThat(detected).isTrue();
    }
}
