package io.siskintrail.internal.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.policy.PolicyOracle.Fate;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.UnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Fuzzes three dispatchers with lost and late messages. A longer run: {@code mvn -o -pl
 * siskintrail,siskintrail.test -am package -Dtest=PolicyFuzzTest#aLongRunKeepsThePromises
 * -Dfuzz.seed=7 -Dfuzz.steps=200000}.
 */
class PolicyFuzzTest {
    private static final int STEPS = 600;

    @Property(seed = "42", tries = 25, shrinking = ShrinkingMode.OFF)
    void everyRequestHasOneFateAndNoSlotIsLostOrUsedTwice(@ForAll long seed) {
        keepsThePromises(seed, STEPS);
    }

    @Property(seed = "43", tries = 5, shrinking = ShrinkingMode.OFF)
    void sameSeedGivesTheSameDecisions(@ForAll long seed) {
        assertThat(trace(seed)).isEqualTo(trace(seed));
    }

    @Example
    void aLongRunKeepsThePromises() {
        keepsThePromises(Long.getLong("fuzz.seed", 1), Integer.getInteger("fuzz.steps", STEPS));
    }

    @Example
    void catchesAStartThatIsRepeated() {
        assertCaught(
                effects ->
                        effects.stream()
                                .flatMap(
                                        e ->
                                                Collections.nCopies(
                                                        e instanceof PolicyEffect.Start ? 2 : 1, e)
                                                        .stream())
                                .toList());
    }

    @Example
    void catchesARefusalThatIsLost() {
        assertCaught(
                effects ->
                        effects.stream().filter(e -> !(e instanceof PolicyEffect.Refuse)).toList());
    }

    @Example
    void catchesStartsInTheWrongOrder() {
        List<PolicyEffect> held = new ArrayList<>();
        assertCaught(
                effects -> {
                    List<PolicyEffect> out = new ArrayList<>();
                    for (PolicyEffect e : effects) {
                        if (e instanceof PolicyEffect.Start && held.isEmpty()) {
                            held.add(e);
                        } else {
                            out.add(e);
                        }
                    }
                    boolean started = out.stream().anyMatch(e -> e instanceof PolicyEffect.Start);
                    if (started) {
                        out.addAll(held);
                        held.clear();
                    }
                    return out;
                });
    }

    @Example
    void catchesRoutersThatDoNotShareSlots() {
        assertThrows(
                AssertionError.class,
                () -> new PolicyCluster(1, UnaryOperator.identity(), true).run(STEPS));
    }

    private static void assertCaught(UnaryOperator<List<PolicyEffect>> fault) {
        PolicyCluster cluster = new PolicyCluster(1, m -> faulty(m, fault), false);
        assertThrows(AssertionError.class, () -> keepsThePromises(cluster, STEPS));
    }

    private static StateMachine<PolicyInput, PolicyEffect> faulty(
            StateMachine<PolicyInput, PolicyEffect> machine,
            UnaryOperator<List<PolicyEffect>> fault) {
        return (now, input) -> fault.apply(machine.step(now, input));
    }

    private static void keepsThePromises(long seed, int steps) {
        keepsThePromises(new PolicyCluster(seed, UnaryOperator.identity(), false), steps);
    }

    private static void keepsThePromises(PolicyCluster cluster, int steps) {
        cluster.run(steps);
        cluster.drain();
        for (Fate open : List.of(Fate.WAITING, Fate.RUNNING, Fate.SUSPENDING)) {
            assertThat(cluster.oracle.in(open)).isEmpty();
        }
        assertThat(cluster.startsOfAFullHouse()).isEqualTo(PolicyCluster.slots());
    }

    private static List<String> trace(long seed) {
        PolicyCluster cluster = new PolicyCluster(seed, UnaryOperator.identity(), false);
        cluster.run(STEPS);
        return cluster.oracle.trace();
    }
}
