package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.function.ToIntFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short calls on endpoints whose latency changes and that are lost in turn. */
class CallReplayTest {
    private static final int SEEDS = 10;

    /** Time of {@code UnaryExchange}: 0.4 of the target of 148 ms. */
    private static final int CONNECT_WAIT_MILLIS = 59;

    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** Guards against calls that miss their target because a connection is not opened. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callThatIsNotConnectedGoesElsewhereInTime(boolean losses) {
        int late = sum(losses, CONNECT_WAIT_MILLIS, CallReplay.Hedge.NEVER, r -> r.late);
        int lateBefore = sum(losses, CONNECT_TIMEOUT_MILLIS, CallReplay.Hedge.NEVER, r -> r.late);

        assertThat(late).isLessThan(lateBefore / 5);
    }

    /** Guards against calls that end unanswered, and against hedges that gain nothing. */
    @Test
    void hedgesAnswerLostCallsWithFewerAttempts() {
        CallReplay.Hedge sooner = CallReplay.Hedge.IF_SOONER;
        int lost = sum(true, CONNECT_WAIT_MILLIS, sooner, r -> r.unansweredIdempotent);
        int lostBefore =
                sum(true, CONNECT_WAIT_MILLIS, CallReplay.Hedge.NEVER, r -> r.unansweredIdempotent);
        int hedges = sum(true, CONNECT_WAIT_MILLIS, sooner, r -> r.hedges);
        int hedgesBefore = sum(true, CONNECT_WAIT_MILLIS, CallReplay.Hedge.ALWAYS, r -> r.hedges);

        assertThat(lost).isLessThan(lostBefore * 4 / 5);
        assertThat(hedges).isLessThan(hedgesBefore);
    }

    private static int sum(
            boolean losses,
            int connectWaitMillis,
            CallReplay.Hedge hedge,
            ToIntFunction<CallReplay> count) {
        CallReplay.Policy policy = new CallReplay.Policy(losses, connectWaitMillis, hedge);
        return LongStream.rangeClosed(1, SEEDS)
                .mapToInt(seed -> count.applyAsInt(new CallReplay(policy, seed).run()))
                .sum();
    }
}
