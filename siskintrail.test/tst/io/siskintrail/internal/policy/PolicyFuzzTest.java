package io.siskintrail.internal.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.policy.PolicyOracle.RequestState;
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
 * Fuzzes three dispatchers with lost and delayed messages. The examples that detect faults show
 * that the checks fail when a dispatcher is faulty. A longer run: {@code mvn -o -pl
 * siskintrail,siskintrail.test -am package -Dtest=PolicyFuzzTest#configurableRunKeepsInvariants
 * -Dfuzz.seed=7 -Dfuzz.steps=200000}.
 */
class PolicyFuzzTest {
    private static final int STEPS = 600;

    @Property(seed = "42", tries = 25, shrinking = ShrinkingMode.OFF)
    void everyRequestEndsOnceAndNoSlotIsLostOrUsedTwice(@ForAll long seed) {
        checkInvariants(seed, STEPS);
    }

    @Property(seed = "43", tries = 5, shrinking = ShrinkingMode.OFF)
    void sameSeedGivesSameDecisions(@ForAll long seed) {
        assertThat(trace(seed)).isEqualTo(trace(seed));
    }

    @Example
    void configurableRunKeepsInvariants() {
        checkInvariants(Long.getLong("fuzz.seed", 1), Integer.getInteger("fuzz.steps", STEPS));
    }

    @Example
    void detectsRepeatedStart() {
        assertDetected(
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
    void detectsLostRefusal() {
        assertDetected(
                effects ->
                        effects.stream().filter(e -> !(e instanceof PolicyEffect.Refuse)).toList());
    }

    @Example
    void detectsStartsInWrongOrder() {
        List<PolicyEffect> delayed = new ArrayList<>();
        assertDetected(
                effects -> {
                    List<PolicyEffect> out = new ArrayList<>();
                    for (PolicyEffect e : effects) {
                        if (e instanceof PolicyEffect.Start && delayed.isEmpty()) {
                            delayed.add(e);
                        } else {
                            out.add(e);
                        }
                    }
                    boolean started = out.stream().anyMatch(e -> e instanceof PolicyEffect.Start);
                    if (started) {
                        out.addAll(delayed);
                        delayed.clear();
                    }
                    return out;
                });
    }

    @Example
    void detectsRoutersThatDoNotShareSlots() {
        assertThrows(
                AssertionError.class,
                () -> new PolicyCluster(1, UnaryOperator.identity(), true).run(STEPS));
    }

    private static void assertDetected(UnaryOperator<List<PolicyEffect>> fault) {
        PolicyCluster cluster = new PolicyCluster(1, m -> injectFault(m, fault), false);
        assertThrows(AssertionError.class, () -> checkInvariants(cluster, STEPS));
    }

    private static StateMachine<PolicyInput, PolicyEffect> injectFault(
            StateMachine<PolicyInput, PolicyEffect> machine,
            UnaryOperator<List<PolicyEffect>> fault) {
        return (now, input) -> fault.apply(machine.step(now, input));
    }

    private static void checkInvariants(long seed, int steps) {
        checkInvariants(new PolicyCluster(seed, UnaryOperator.identity(), false), steps);
    }

    private static void checkInvariants(PolicyCluster cluster, int steps) {
        cluster.run(steps);
        cluster.drain();
        for (RequestState unfinished :
                List.of(RequestState.WAITING, RequestState.RUNNING, RequestState.SUSPENDING)) {
            assertThat(cluster.oracle.requestsIn(unfinished)).isEmpty();
        }
        assertThat(cluster.countRunningAtFullLoad()).isEqualTo(PolicyCluster.totalSlots());
    }

    private static List<String> trace(long seed) {
        PolicyCluster cluster = new PolicyCluster(seed, UnaryOperator.identity(), false);
        cluster.run(STEPS);
        return cluster.oracle.trace();
    }
}
