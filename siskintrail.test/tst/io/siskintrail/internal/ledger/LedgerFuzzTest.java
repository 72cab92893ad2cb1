package io.siskintrail.internal.ledger;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;

/**
 * Drives several routers and the ledger through lost, delayed, repeated and reordered messages,
 * kills, restarts and pauses.
 *
 * <p>A longer run: {@code mvn -o -pl siskintrail,siskintrail.test -am package -Dtest=LedgerFuzzTest
 * -Dfuzz.seed=7 -Dfuzz.steps=5000000}.
 */
class LedgerFuzzTest {
    private static final int STEPS = 400;
    private static final int LONG_RUN_STEPS = 20_000;
    private static final int VARIANT_STEPS = 200_000;

    @Property(
            tries = 350,
            seed = "41",
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.BOUNDED)
    void eachOrderIsDispatchedAtMostOnce(@ForAll("actions") List<Integer> actions) {
        LedgerWorld world = new LedgerWorld(LedgerWorld::realFlow, LedgerState::new);
        actions.forEach(world::act);
        world.settleDown();
    }

    @Provide
    Arbitrary<List<Integer>> actions() {
        return Arbitraries.integers()
                .between(0, Integer.MAX_VALUE)
                .withDistribution(RandomDistribution.uniform())
                .list()
                .ofSize(STEPS);
    }

    @Example
    void everyOutcomeIsReached() {
        Map<String, Integer> outcomes = new HashMap<>();
        run(
                Long.getLong("fuzz.seed", 5),
                Integer.getInteger("fuzz.steps", LONG_RUN_STEPS),
                LedgerWorld::realFlow,
                LedgerState::new,
                outcomes);
        Stream.of(
                        OrderOutcome.Answered.class,
                        OrderOutcome.NotRun.class,
                        OrderOutcome.Unknown.class,
                        OrderOutcome.InProgress.class,
                        OrderOutcome.KeyReused.class,
                        OrderOutcome.Unavailable.class)
                .forEach(type -> assertThat(outcomes).containsKey(type.getSimpleName()));
    }

    @Example
    void callBeforeTheDispatchIsCommittedIsCaught() {
        assertCaught(
                (host, boot) ->
                        new OrderFlow(host, boot, LedgerWorld::pick) {
                            @Override
                            boolean callsBeforeCommit() {
                                return true;
                            }
                        },
                LedgerState::new);
    }

    @Example
    void notRunAfterBrokenCallIsCaught() {
        assertCaught(
                (host, boot) ->
                        new OrderFlow(host, boot, LedgerWorld::pick) {
                            @Override
                            OrderOutcome outcomeOfBrokenCall() {
                                return new OrderOutcome.NotRun(ResultCode.ORDER_NOT_CONNECTED);
                            }
                        },
                LedgerState::new);
    }

    @Example
    void unknownOrderDispatchedAgainIsCaught() {
        assertCaught(
                LedgerWorld::realFlow,
                () ->
                        new LedgerState() {
                            @Override
                            boolean canBeClaimed(OrderRecord r) {
                                return r.state() == OrderState.UNKNOWN;
                            }
                        });
    }

    @Example
    void releaseOfDispatchedOrderBySettlingIsCaught() {
        assertCaught(
                LedgerWorld::realFlow,
                () ->
                        new LedgerState() {
                            @Override
                            boolean mayHaveBeenSent(OrderRecord r) {
                                return false;
                            }
                        });
    }

    @Example
    void releaseOfNewerAttemptIsCaught() {
        assertCaught(
                LedgerWorld::realFlow,
                () ->
                        new LedgerState() {
                            @Override
                            boolean canBeClaimed(OrderRecord r) {
                                return r.state() == OrderState.CLAIMED
                                        || r.state() == OrderState.DISPATCHED;
                            }
                        });
    }

    private static void assertCaught(
            BiFunction<HostId, Long, OrderFlow> flows, Supplier<LedgerState> ledgers) {
        AssertionError e =
                assertThrows(
                        AssertionError.class,
                        () -> run(1, VARIANT_STEPS, flows, ledgers, new HashMap<>()));
        assertThat(e).hasMessageThat().containsMatch("dispatch|run of");
    }

    private static void run(
            long seed,
            int steps,
            BiFunction<HostId, Long, OrderFlow> flows,
            Supplier<LedgerState> ledgers,
            Map<String, Integer> outcomes) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int left = steps; left > 0; left -= STEPS) {
            LedgerWorld world = new LedgerWorld(flows, ledgers);
            for (int i = 0; i < STEPS; i++) {
                world.act(random.nextInt() & Integer.MAX_VALUE);
            }
            world.settleDown();
            world.outcomes().forEach((k, v) -> outcomes.merge(k, v, Integer::sum));
        }
    }
}
