package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.Dispatcher;
import io.siskintrail.internal.policy.Outcome;
import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.internal.policy.Target;
import io.siskintrail.internal.policy.WorkRequest;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one routing decision (a request comes, finds a slot and ends) and of one
 * queue decision (a request ends while all accounts wait, the next one starts, another one comes),
 * the coordination of the pools included, at 250 requests a second.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 2, time = 1)
@Fork(1)
public class DecisionCost {
    private static final ModelId MODEL = new ModelId("m", "", "1");
    private static final HostId SELF = new HostId("entry-0");
    private static final int SLOTS = 8;
    private static final long WARM_MILLIS = 10_000;
    private static final long MILLIS_PER_REQUEST = 4;
    private static final long LONG_WAIT_MILLIS = 1L << 40;

    /** Endpoints of the model. */
    @Param({"20", "200", "2000"})
    public int endpoints;

    /** Client accounts. */
    @Param({"10", "100", "620"})
    public int accounts;

    private final ArrayDeque<Long> running = new ArrayDeque<>();
    private Dispatcher dispatcher;
    private long now;
    private long ticket;

    /** Makes a router that coordinates all pools; for the queue, fills all slots and queues. */
    @Setup(Level.Iteration)
    public void fill() {
        dispatcher = new Dispatcher(SELF, 1, PolicyRules.DEFAULT);
        running.clear();
        step(new PolicyInput.Peers(Set.of(SELF), true));
        for (int i = 0; i < endpoints; i++) {
            step(new PolicyInput.EndpointUp(engine(i)));
        }
        for (long end = now + WARM_MILLIS; now < end; now += Dispatcher.TICK_MILLIS) {
            step(new PolicyInput.Tick());
        }
    }

    /** One request comes, starts and ends. */
    @Benchmark
    public void routing() {
        advance();
        submit();
        finishOne();
    }

    /** The same while every account has work waiting. */
    @Benchmark
    public void queue() {
        if (dispatcher.waitingCount() < 2 * accounts) {
            while (dispatcher.waitingCount() < 4 * accounts) {
                submit();
            }
        }
        advance();
        submit();
        finishOne();
    }

    private void advance() {
        for (int i = 0; i < MILLIS_PER_REQUEST; i += Dispatcher.TICK_MILLIS) {
            now += Dispatcher.TICK_MILLIS;
            step(new PolicyInput.Tick());
        }
    }

    private void submit() {
        step(new PolicyInput.Submit(request(ticket++)));
    }

    private void finishOne() {
        Long done = running.poll();
        if (done != null) {
            step(new PolicyInput.Finished(done, Outcome.DONE, 100));
        }
    }

    private void step(PolicyInput input) {
        for (PolicyEffect effect : dispatcher.step(now, input)) {
            if (effect instanceof PolicyEffect.Start s) {
                running.add(s.ticket());
            }
        }
    }

    private WorkRequest request(long id) {
        return new WorkRequest(
                id,
                new AccountId("a" + id % accounts),
                Rank.BULK,
                Target.of(MODEL),
                null,
                0,
                1_000,
                100,
                LONG_WAIT_MILLIS,
                new long[0],
                true);
    }

    private static EndpointInfo engine(int i) {
        return new EndpointInfo(
                new EndpointId("e" + i),
                "127.0.0.1:1",
                EndpointKind.ENGINE,
                new FailureDomain("marka"),
                List.of(MODEL),
                List.of(),
                SLOTS,
                true,
                1,
                false);
    }
}
