package io.siskintrail.internal.consensus;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** Random faults over 3 and 5 replicas with a spare, judged by {@link Oracle}. */
class ConsensusFuzzTest {
    private static final int ACTIONS = 400;
    private static final AtomicLong ALL_ACTIONS = new AtomicLong();
    private static final AtomicLong ALL_STEPS = new AtomicLong();

    @Property(seed = "4101", tries = 160, shrinking = ShrinkingMode.OFF)
    void threeReplicasAndASpareKeepTheLog(
            @ForAll long seed, @ForAll("actions") List<FuzzAction> actions) {
        run(3, seed, actions);
    }

    @Property(seed = "4102", tries = 120, shrinking = ShrinkingMode.OFF)
    void fiveReplicasAndASpareKeepTheLog(
            @ForAll long seed, @ForAll("actions") List<FuzzAction> actions) {
        run(5, seed, actions);
    }

    @Property(seed = "4104", tries = 120, shrinking = ShrinkingMode.OFF)
    void replicasWithoutLeasesKeepTheLog(
            @ForAll long seed, @ForAll("actions") List<FuzzAction> actions) {
        ALL_STEPS.addAndGet(FuzzRun.runWithoutLeases(5, seed, actions));
        ALL_ACTIONS.addAndGet(actions.size());
    }

    @Property(seed = "4103", tries = 100, shrinking = ShrinkingMode.OFF)
    void knownTrapsKeepTheLog(@ForAll long seed) {
        FuzzRun.figureEight(seed, SafetyRules::new);
        FuzzRun.hideLeader(seed, false, SafetyRules::new);
        FuzzRun.hideLeader(seed, true, SafetyRules::new);
        FuzzRun.removeMajority(seed, SafetyRules::new);
    }

    @Provide
    Arbitrary<List<FuzzAction>> actions() {
        return FuzzAction.lists(ACTIONS);
    }

    @AfterContainer
    static void report() {
        System.out.printf(
                "consensus_fuzz actions=%d steps=%d%n", ALL_ACTIONS.get(), ALL_STEPS.get());
    }

    private static void run(int voters, long seed, List<FuzzAction> actions) {
        long steps = FuzzRun.run(voters, seed, actions, SafetyRules::new);
        ALL_ACTIONS.addAndGet(actions.size());
        ALL_STEPS.addAndGet(steps);
    }
}
