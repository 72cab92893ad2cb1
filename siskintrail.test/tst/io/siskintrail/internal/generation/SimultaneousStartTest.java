package io.siskintrail.internal.generation;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Starts one request at the same time on two routers that are each other's buddy. Guards against
 * both running it: each opens a copy at the other, so exactly one of the two starts must yield.
 */
class SimultaneousStartTest {
    private static final EndpointId ENGINE = new EndpointId("e0");
    private static final RequestRef REF =
            new RequestRef(new AccountId("clinic"), new RequestKey("k"));
    private static final long STEP_MILLIS = 5;
    private static final long END_MILLIS = 5_000;

    private final List<HostInfo> hosts = List.of(host("r0"), host("r1"));
    private final List<GenerationMachine> machines = new ArrayList<>();
    private final Queue<ScheduledInput> scheduledInputs = new ArrayDeque<>();
    private final List<GenerationEffect.Finish> finishes = new ArrayList<>();
    private int attempts;

    private record ScheduledInput(long deliverAt, int router, GenerationInput input) {}

    @ParameterizedTest
    @CsvSource({"a, b, 1", "b, a, 1", "a, b, 20", "b, a, 20", "a, b, 100"})
    void requestRunsOnceAndBothCallersGetItsAnswer(String id0, String id1, long delayMillis) {
        for (HostInfo host : hosts) {
            machines.add(new GenerationMachine(GenerationSettings.defaults(), host, 1, 0));
        }
        step(0, 0, new GenerationInput.Routers(hosts), delayMillis);
        step(0, 1, new GenerationInput.Routers(hosts), delayMillis);
        step(0, 0, new GenerationInput.Attach(1, spec(id0), null, true), delayMillis);
        step(0, 1, new GenerationInput.Attach(2, spec(id1), null, true), delayMillis);
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            while (!scheduledInputs.isEmpty() && scheduledInputs.peek().deliverAt <= now) {
                ScheduledInput next = scheduledInputs.poll();
                step(now, next.router, next.input, delayMillis);
            }
            step(now, 0, new GenerationInput.Tick(), delayMillis);
            step(now, 1, new GenerationInput.Tick(), delayMillis);
        }
        assertThat(finishes.stream().map(f -> f.outcome().code()).toList())
                .containsExactly(ResultCode.OK, ResultCode.OK);
        assertThat(attempts).isEqualTo(1);
    }

    private void step(long now, int router, GenerationInput input, long delayMillis) {
        for (GenerationEffect effect : machines.get(router).step(now, input)) {
            if (effect instanceof GenerationEffect.Send e) {
                HostId from = hosts.get(router).id();
                int to = e.to().equals(hosts.get(0).id()) ? 0 : 1;
                GenerationInput message = new GenerationInput.Message(from, 1, e.message());
                scheduledInputs.add(new ScheduledInput(now + delayMillis, to, message));
            } else if (effect instanceof GenerationEffect.RequestSlot e) {
                GenerationInput granted =
                        new GenerationInput.SlotGranted(e.spec().id(), e.attempt(), ENGINE);
                scheduledInputs.add(new ScheduledInput(now + delayMillis, router, granted));
            } else if (effect instanceof GenerationEffect.StartAttempt e) {
                attempts++;
                TokenRun run = TokenRun.of(new int[] {7}, "w", new int[] {1});
                Outcome end = new Outcome(ResultCode.OK, "stop");
                GenerationInput chunk =
                        new GenerationInput.Chunk(e.spec().id(), e.attempt(), 0, run, end);
                scheduledInputs.add(new ScheduledInput(now + delayMillis, router, chunk));
            } else if (effect instanceof GenerationEffect.Finish e) {
                finishes.add(e);
            }
        }
    }

    private static GenerationSpec spec(String id) {
        return new GenerationSpec(
                new GenerationId(id),
                REF,
                new ModelId("quoting", "", "v1"),
                Rank.URGENT,
                1,
                new Fingerprint(1, 2),
                3,
                "{}");
    }

    private static HostInfo host(String id) {
        return new HostInfo(new HostId(id), new FailureDomain("d-" + id), "127.0.0.1:1");
    }
}
