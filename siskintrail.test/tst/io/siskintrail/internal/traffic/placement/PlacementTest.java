package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.Records;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
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

/** Simulates load on endpoint selection: bursts, several failure domains, failing endpoints. */
class PlacementTest {
    private static final FailureDomain LOCAL_DOMAIN = new FailureDomain("a");
    private static final EngineSpec ENGINE = new EngineSpec(64, 88_000, 6, true, 4_000);
    private static final long TOKENS = 9_000;
    private static final long PREFILL_MILLIS = 1_000;
    private static final long MAX_PREFILL_MILLIS = 100_000;
    private static final HostId OTHER_HOST = new HostId("h2");

    private final List<EndpointView> engines = new ArrayList<>();
    private final StreamPlacement streams =
            new StreamPlacement(LOCAL_DOMAIN, new SplittableRandom(7)::nextDouble);

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
    void loadOfOtherHostsIsConsidered() {
        addEngines("a", 2);
        EndpointView first = engines.get(0);
        first.updateRemoteLoad(
                OTHER_HOST, new PlacedLoad(first.record().id(), 3, 27_000, 3_000), 1_000);

        assertThat(choose(1_010)).isEqualTo(engines.get(1));
    }

    /** Packet loss between failure domains delays events more than a few other streams do. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 8})
    void streamStaysInLocalDomainBesideOtherStreams(int otherStreams) {
        addEngines("a", 1);
        addEngines("b", 1);
        EndpointView local = engines.get(0);
        local.updateRemoteLoad(
                OTHER_HOST, new PlacedLoad(local.record().id(), otherStreams, 0, 0), 1_000);

        assertThat(choose(1_010)).isEqualTo(local);
    }

    @Test
    void streamLeavesLocalDomainDuringPrefillThere() {
        addEngines("a", 1);
        addEngines("b", 1);
        place(engines.get(0), 1_000);

        assertThat(choose(1_010)).isEqualTo(engines.get(1));
    }

    @Test
    void engineMemoryIsNotExceeded() {
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
    void burstDoesNotPileUpOnFirstRecoveredEngine(long maxPrefillMillis) {
        addEngines("a", 1);
        int placed = 0;
        EndpointView best = engines.get(0);
        while (best != null) {
            place(best, 1_000);
            placed++;
            best = streams.choose(1_000, engines, ENGINE, 1_000, maxPrefillMillis, null, e -> true);
        }

        assertThat(placed * PREFILL_MILLIS).isAtMost(maxPrefillMillis + PREFILL_MILLIS);
        assertThat(placed).isAtLeast(2);
    }

    /**
     * In a rolling restart of entry hosts, clients reconnect to a host that never saw the stream.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4})
    void streamResumesWherePromptWasPrefilled(int otherStreams) {
        addEngines("a", 3);
        addEngines("b", 1);
        EndpointView prefilled = engines.get(3);
        for (int i = 0; i < otherStreams; i++) {
            place(prefilled, 1_000);
        }

        assertThat(choose(1_000, prefilled.record().id())).isEqualTo(prefilled);
        assertThat(choose(1_000, new EndpointId("gone"))).isNotEqualTo(prefilled);
    }

    /** A cached prompt takes no further memory, but an engine without a free slot is not chosen. */
    @ParameterizedTest
    @CsvSource({"7, true", "8, true", "9, false"})
    void prefillIsRepeatedOnlyIfEngineIsFull(int otherStreams, boolean returnsToEngine) {
        addEngines("a", 2);
        EndpointView prefilled = engines.get(0);
        prefilled.updateRemoteLoad(
                OTHER_HOST,
                new PlacedLoad(prefilled.record().id(), otherStreams, 9_300L * otherStreams, 0),
                1_000);

        EndpointView chosen = choose(1_010, prefilled.record().id());

        assertThat(chosen).isEqualTo(engines.get(returnsToEngine ? 0 : 1));
    }

    static Stream<EndpointState> unusableStates() {
        return Stream.of(EndpointState.DRAINING, EndpointState.GONE);
    }

    @ParameterizedTest
    @MethodSource("unusableStates")
    void drainingOrGoneEngineIsNotChosen(EndpointState state) {
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
    void unreachableEngineIsAvoidedDuringBackoff() {
        addEngines("a", 1);
        addEngines("b", 1);
        engines.get(0).health().recordUnreachable(1_000);

        assertThat(choose(1_010)).isEqualTo(engines.get(1));
        assertThat(choose(60_000)).isEqualTo(engines.get(0));
    }

    /** Guards against sending to a full engine again although nothing newer is known of it. */
    @ParameterizedTest
    @CsvSource({"499, false, 0", "500, false, 1", "10, true, 1"})
    void engineThatRejectedIsLeftOut(long laterMillis, boolean newReport, int places) {
        addEngines("a", 1);
        EndpointView full = engines.get(0);
        full.recordRejection(1_000);
        if (newReport) {
            full.updateRemoteLoad(OTHER_HOST, new PlacedLoad(full.record().id(), 1, 9, 0), 1_000);
        }

        long now = 1_000 + laterMillis;
        assertThat(streams.countPlaces(now, engines, ENGINE, TOKENS, MAX_PREFILL_MILLIS, 5))
                .isEqualTo(places);
        assertThat(choose(now)).isEqualTo(places == 0 ? null : full);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 10})
    void callsAvoidPartiallyFailingEndpoint(int failuresInTen) {
        CallPlacement calls = new CallPlacement(LOCAL_DOMAIN);
        addEngines("a", 1);
        addEngines("b", 1);
        SplittableRandom random = new SplittableRandom(11);
        int callsToFailing = 0;
        for (int i = 0; i < 200; i++) {
            long now = 1_000 + 50L * i;
            EndpointView e = calls.choose(now, engines, v -> true);
            boolean isFailing = e == engines.get(0);
            callsToFailing += isFailing ? 1 : 0;
            if (isFailing && random.nextInt(10) < failuresInTen) {
                e.health().recordFailure(now);
            } else {
                e.health().recordSuccess(now, 40);
            }
        }

        assertThat(callsToFailing).isAtMost(100);
        assertThat(callsToFailing).isAtLeast(2);
    }

    @Test
    void callsStayInLocalDomainAtLowCost() {
        CallPlacement calls = new CallPlacement(LOCAL_DOMAIN);
        addEngines("b", 1);
        addEngines("a", 1);

        assertThat(calls.choose(1_000, engines, v -> true).record().domain())
                .isEqualTo(LOCAL_DOMAIN);
    }

    private EndpointView choose(long now) {
        return choose(now, null);
    }

    private EndpointView choose(long now, EndpointId prefilledAt) {
        return streams.choose(
                now, engines, ENGINE, TOKENS, MAX_PREFILL_MILLIS, prefilledAt, e -> true);
    }

    private static void place(EndpointView e, long now) {
        e.beginRequest(TOKENS);
        e.beginPrefill(now, PREFILL_MILLIS);
    }

    private void addEngines(String domain, int count) {
        for (int i = 0; i < count; i++) {
            engines.add(new EndpointView(Records.engine(domain + i, domain)));
        }
    }
}
