package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays loads on the choice of endpoints: bursts, a lost failure domain, failing endpoints. */
class PlacementTest {
    private static final FailureDomain HOME = new FailureDomain("a");
    private static final EngineSpec ENGINE = new EngineSpec(64, 88_000, 6, true, 4_000);
    private static final long TOKENS = 9_000;
    private static final long PROMPT_MILLIS = 1_000;
    private static final long MAX_PREFILL = 100_000;
    private static final HostId ELSEWHERE = new HostId("h2");

    private final List<EndpointView> engines = new ArrayList<>();
    private final StreamPlacement streams =
            new StreamPlacement(HOME, new SplittableRandom(7)::nextDouble);

    @ParameterizedTest
    @ValueSource(ints = {6, 12, 24})
    void burstIsSpreadOverAllEngines(int requests) {
        addEngines("a", 3);
        addEngines("b", 3);
        Map<EndpointView, Integer> placed = new HashMap<>();

        for (int i = 0; i < requests; i++) {
            EndpointView best = choose(1_000);
            place(best, 1_000);
            placed.merge(best, 1, Integer::sum);
        }

        assertThat(placed.values()).containsNoneIn(List.of(requests / 6 + 2, requests));
        assertThat(placed).hasSize(6);
    }

    @Test
    void placementsOfOtherHostsCount() {
        addEngines("a", 2);
        EndpointView first = engines.get(0);
        first.placedElsewhere(
                ELSEWHERE, new PlacedLoad(first.record().id(), 3, 27_000, 3_000), 1_000);

        assertThat(choose(1_010)).isEqualTo(engines.get(1));
    }

    /** A lossy link between domains delays each lost event; running streams delay little. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 8})
    void streamStaysAtHomeBesideOthers(int othersThere) {
        addEngines("a", 1);
        addEngines("b", 1);
        EndpointView home = engines.get(0);
        home.placedElsewhere(
                ELSEWHERE, new PlacedLoad(home.record().id(), othersThere, 0, 0), 1_000);

        assertThat(choose(1_010)).isEqualTo(home);
    }

    @Test
    void streamLeavesItsDomainWhenPromptsAreReadThere() {
        addEngines("a", 1);
        addEngines("b", 1);
        place(engines.get(0), 1_000);

        assertThat(choose(1_010)).isEqualTo(engines.get(1));
    }

    @Test
    void memoryIsNeverOverfilled() {
        addEngines("a", 1);
        int placed = 0;
        while (choose(1_000) != null) {
            place(choose(1_000), 1_000);
            placed++;
        }

        assertThat(placed * TOKENS).isAtMost(ENGINE.memoryTokens());
        assertThat(placed).isAtLeast(8);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_200, 3_000})
    void burstDoesNotPileUpOnTheFirstEngineThatComesBack(long maxPrefill) {
        addEngines("a", 1);
        int placed = 0;
        EndpointView best = engines.get(0);
        while (best != null) {
            place(best, 1_000);
            placed++;
            best = streams.choose(1_000, engines, ENGINE, 1_000, maxPrefill, null, e -> true);
        }

        assertThat(placed * PROMPT_MILLIS).isAtMost(maxPrefill + PROMPT_MILLIS);
        assertThat(placed).isAtLeast(2);
    }

    /** Entry hosts are stopped in turn: clients ask again at a host that never saw the stream. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4})
    void streamGoesOnWhereItsPromptWasRead(int othersThere) {
        addEngines("a", 3);
        addEngines("b", 1);
        EndpointView reader = engines.get(3);
        for (int i = 0; i < othersThere; i++) {
            place(reader, 1_000);
        }

        assertThat(choose(1_000, reader.record().id())).isEqualTo(reader);
        assertThat(choose(1_000, new EndpointId("gone"))).isNotEqualTo(reader);
    }

    /** The prompt takes no further memory where it was read, but a full engine takes no more. */
    @ParameterizedTest
    @CsvSource({"7, true", "8, true", "9, false"})
    void promptIsReadAgainOnlyIfItsEngineIsFull(int othersThere, boolean goesBack) {
        addEngines("a", 2);
        EndpointView reader = engines.get(0);
        reader.placedElsewhere(
                ELSEWHERE,
                new PlacedLoad(reader.record().id(), othersThere, 9_300L * othersThere, 0),
                1_000);

        EndpointView chosen = choose(1_010, reader.record().id());

        assertThat(chosen).isEqualTo(engines.get(goesBack ? 0 : 1));
    }

    static Stream<EndpointState> unusable() {
        return Stream.of(EndpointState.DRAINING, EndpointState.GONE);
    }

    @ParameterizedTest
    @MethodSource("unusable")
    void leavingEngineGetsNothing(EndpointState state) {
        engines.add(new EndpointView(Records.at("x", 1, 1, "x:1", "a", state)));

        assertThat(choose(1_000)).isNull();
    }

    @Test
    void copyIsKeptInAnotherDomain() {
        addEngines("a", 3);
        addEngines("b", 1);

        EndpointView copy = streams.chooseCopy(1_000, engines, ENGINE, TOKENS, engines.get(0));

        assertThat(copy.record().domain()).isEqualTo(new FailureDomain("b"));
    }

    @Test
    void unreachableEngineIsAvoidedForAWhile() {
        addEngines("a", 1);
        addEngines("b", 1);
        engines.get(0).health().unreachable(1_000);

        assertThat(choose(1_010)).isEqualTo(engines.get(1));
        assertThat(choose(60_000)).isEqualTo(engines.get(0));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 10})
    void callsLeaveAnEndpointThatFailsPartOfThem(int ofTen) {
        CallPlacement calls = new CallPlacement(HOME);
        addEngines("a", 1);
        addEngines("b", 1);
        SplittableRandom random = new SplittableRandom(11);
        int atGrey = 0;
        for (int i = 0; i < 200; i++) {
            long now = 1_000 + 50L * i;
            EndpointView e = calls.choose(now, engines, v -> true);
            boolean grey = e == engines.get(0);
            atGrey += grey ? 1 : 0;
            if (grey && random.nextInt(10) < ofTen) {
                e.health().failed(now);
            } else {
                e.health().succeeded(now, 40);
            }
        }

        assertThat(atGrey).isAtMost(100);
        assertThat(atGrey).isAtLeast(2);
    }

    @Test
    void callsStayAtHomeWhileThatCostsLittle() {
        CallPlacement calls = new CallPlacement(HOME);
        addEngines("b", 1);
        addEngines("a", 1);

        assertThat(calls.choose(1_000, engines, v -> true).record().domain()).isEqualTo(HOME);
    }

    private EndpointView choose(long now) {
        return choose(now, null);
    }

    private EndpointView choose(long now, EndpointId readAt) {
        return streams.choose(now, engines, ENGINE, TOKENS, MAX_PREFILL, readAt, e -> true);
    }

    private static void place(EndpointView e, long now) {
        e.begin(TOKENS);
        e.beginPrefill(now, PROMPT_MILLIS);
    }

    private void addEngines(String domain, int count) {
        for (int i = 0; i < count; i++) {
            engines.add(new EndpointView(Records.engine(domain + i, domain)));
        }
    }
}
