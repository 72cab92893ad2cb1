package io.siskintrail.bench.promises;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.fake.FakeTokens;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Injects a violation of each promise and looks for its report. */
class PromiseChecksTest {
    private static final ModelId MODEL = new ModelId("quoting", "", "v1");
    private static final String PROMPT = "g1 chairs";
    private static final long SEED = 5;
    private static final int TOKENS = 6;
    private static final Set<String> SALTS = Set.of("engine-1", "engine-2");
    private static final int NOT_RUN = ResultCode.NOT_RUN_SHUTTING_DOWN.number();

    @Test
    void allPromisesAreKeptByARunWithoutFault() {
        List<Verdict> verdicts = judge(new Builder());
        assertThat(verdicts.stream().map(Verdict::promise))
                .containsExactly((Object[]) Promise.values());
        assertThat(verdicts.stream().filter(v -> !v.kept()).toList()).isEmpty();
    }

    static Stream<Arguments> violations() {
        List<Integer> right = chain("engine-1", TOKENS);
        List<Integer> missing = without(right, 2);
        List<Integer> repeated = new ArrayList<>(right);
        repeated.add(3, right.get(2));
        List<Integer> mixed = new ArrayList<>(right.subList(0, 3));
        mixed.addAll(chain("engine-2", TOKENS).subList(3, TOKENS));
        return Stream.of(
                Arguments.of(Promise.TOKENS, new Builder().generation(whole(missing))),
                Arguments.of(Promise.TOKENS, new Builder().generation(whole(repeated))),
                Arguments.of(Promise.TOKENS, new Builder().generation(offsets(1, 2, 2, 3, 4, 5))),
                Arguments.of(Promise.UNMIXED, new Builder().generation(whole(mixed))),
                Arguments.of(Promise.OWN_ANSWER, new Builder().generation(cut())),
                Arguments.of(Promise.OWN_ANSWER, new Builder().order("order-1", 0, "order-2")),
                Arguments.of(Promise.NOT_RUN, new Builder().generation(notRun()).started("g1")),
                Arguments.of(
                        Promise.NOT_RUN,
                        new Builder().order("order-1", NOT_RUN, null).executed("order-1", 1)),
                Arguments.of(Promise.ORDER_ONCE, new Builder().executed("order-1", 2)),
                Arguments.of(Promise.LEAVING, new Builder().lateStart()),
                Arguments.of(Promise.GRACEFUL, new Builder().cutStream()),
                Arguments.of(Promise.CONFIGURATION, new Builder().seen(2, 0).seen(1, 0)),
                Arguments.of(Promise.CONFIGURATION, new Builder().seen(1, 2)),
                Arguments.of(Promise.CONFIGURATION, new Builder().accepted(9L)),
                Arguments.of(Promise.CONFIGURATION, new Builder().accepted(1L, 1L)));
    }

    @ParameterizedTest
    @MethodSource("violations")
    void violationIsReported(Promise promise, Builder run) {
        List<Promise> breached =
                judge(run).stream().filter(v -> !v.kept()).map(Verdict::promise).toList();
        assertThat(breached).contains(promise);
    }

    private static List<Verdict> judge(Builder run) {
        return new PromiseChecks(MODEL).judge(run.build());
    }

    private static List<Integer> chain(String salt, int count) {
        FakeTokens tokens = new FakeTokens(MODEL, PROMPT, SEED, salt);
        return IntStream.range(0, count).mapToObj(i -> tokens.next()).toList();
    }

    private static List<Integer> without(List<Integer> all, int index) {
        List<Integer> rest = new ArrayList<>(all);
        rest.remove(index);
        return rest;
    }

    private static GenerationEvidence whole(List<Integer> tokens) {
        List<Integer> offsets = IntStream.rangeClosed(1, tokens.size()).boxed().toList();
        return generation(offsets, tokens, GenerationEvidence.End.WHOLE, 0);
    }

    private static GenerationEvidence offsets(Integer... offsets) {
        return generation(
                List.of(offsets), chain("engine-1", TOKENS), GenerationEvidence.End.WHOLE, 0);
    }

    private static GenerationEvidence cut() {
        return generation(List.of(), List.of(), GenerationEvidence.End.CUT, 0);
    }

    private static GenerationEvidence notRun() {
        return generation(List.of(), List.of(), GenerationEvidence.End.TOLD, NOT_RUN);
    }

    private static GenerationEvidence generation(
            List<Integer> offsets, List<Integer> tokens, GenerationEvidence.End end, int code) {
        return new GenerationEvidence(PROMPT, SEED, TOKENS, offsets, tokens, end, code, "");
    }

    /** Builds the evidence of a run that keeps all promises but for what is set. */
    static final class Builder {
        private final List<GenerationEvidence> generations = new ArrayList<>();
        private final List<OrderEvidence> orders = new ArrayList<>();
        private final List<RulesObservation> observations = new ArrayList<>();
        private Map<String, Integer> executions = Map.of("order-3", 1);
        private Set<String> started = Set.of("g2");
        private long lateStarts;
        private List<String> cut = List.of();
        private List<Long> accepted = List.of(1L);

        Builder generation(GenerationEvidence g) {
            generations.add(g);
            return this;
        }

        Builder order(String key, int code, String echoed) {
            orders.add(new OrderEvidence(key, code, echoed));
            return this;
        }

        Builder executed(String key, int times) {
            executions = Map.of(key, times);
            return this;
        }

        Builder started(String prompt) {
            started = Set.of(prompt);
            return this;
        }

        Builder lateStart() {
            lateStarts = 1;
            return this;
        }

        Builder cutStream() {
            cut = List.of("connection: reset");
            return this;
        }

        Builder seen(long number, long required) {
            observations.add(new RulesObservation("router-1", true, number, required));
            return this;
        }

        Builder accepted(Long... numbers) {
            accepted = List.of(numbers);
            return this;
        }

        Evidence build() {
            List<GenerationEvidence> all = new ArrayList<>(generations);
            all.add(whole(chain("engine-2", TOKENS)));
            return new Evidence(
                    all,
                    orders,
                    executions,
                    started,
                    List.of(new LeaveEvidence("engine-1", lateStarts)),
                    cut,
                    observations,
                    accepted,
                    1,
                    SALTS);
        }
    }
}
