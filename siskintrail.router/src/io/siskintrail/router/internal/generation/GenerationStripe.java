package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.BuddyMessage;
import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.internal.generation.GenerationMachine;
import io.siskintrail.lib.HostId;
import io.siskintrail.router.internal.endpoint.EngineClient;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Owns one generation machine, the thread it lives on, and the callers and streams it serves. */
final class GenerationStripe implements Service {
    private static final long TICK_MILLIS = 20;
    private static final System.Logger LOG = System.getLogger(GenerationStripe.class.getName());

    private final GenerationMachine machine;
    private final ControlLoop loop;
    private final SlotSource slots;
    private final EngineAttempts attempts;
    private final BiConsumer<HostId, BuddyMessage> sender;
    private final GenerationStats stats;
    private final Consumer<GenerationEffect.EndpointLost> whenLost;
    private final RequestLog log = new RequestLog();
    private final Map<Long, CallerSink> callers = new HashMap<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean stopped;

    GenerationStripe(
            int index,
            GenerationMachine machine,
            SlotSource slots,
            EngineClient engines,
            BiConsumer<HostId, BuddyMessage> sender,
            GenerationStats stats,
            Consumer<GenerationEffect.EndpointLost> whenLost) {
        this.whenLost = whenLost;
        this.machine = machine;
        this.slots = slots;
        this.sender = sender;
        this.stats = stats;
        this.loop = new ControlLoop("generation-" + index);
        this.attempts = new EngineAttempts(engines, this::post);
    }

    @Override
    public void start() {
        loop.every(TICK_MILLIS, () -> step(new GenerationInput.Tick()));
    }

    @Override
    public void stop() {
        stopped = true;
        loop.stop();
        attempts.close();
    }

    /** Hands an input to the machine, from any thread. */
    void post(GenerationInput input) {
        loop.execute(() -> step(input));
    }

    /** Attaches a caller whose sink takes everything that is delivered to it. */
    void attach(GenerationInput.Attach attach, CallerSink sink) {
        loop.execute(
                () -> {
                    callers.put(attach.caller(), sink);
                    log.attached(attach);
                    step(attach);
                });
    }

    void detach(long caller) {
        loop.execute(
                () -> {
                    callers.remove(caller);
                    log.detached(caller);
                    step(new GenerationInput.Detach(caller));
                });
    }

    /** Waits until nothing runs here any more; returns false after {@code millis}. */
    boolean awaitDrained(long millis) throws InterruptedException {
        return drained.await(millis, TimeUnit.MILLISECONDS);
    }

    private void step(GenerationInput input) {
        if (stopped) {
            return;
        }
        if (input instanceof GenerationInput.Chunk chunk) {
            slots.progress(chunk.generation(), chunk.run().size());
        }
        for (GenerationEffect effect : machine.step(ControlLoop.nowMillis(), input)) {
            carryOut(effect);
        }
    }

    private void carryOut(GenerationEffect effect) {
        if (effect instanceof GenerationEffect.Deliver e) {
            CallerSink sink = callers.get(e.caller());
            if (sink != null) {
                stats.countDelivered(e.run().size());
                sink.deliver(e);
            }
        } else if (effect instanceof GenerationEffect.Send e) {
            sender.accept(e.to(), e.message());
        } else if (effect instanceof GenerationEffect.Finish e) {
            CallerSink sink = callers.remove(e.caller());
            log.finished(e);
            if (sink != null) {
                sink.finish(e.outcome(), e.tokens());
            }
        } else if (effect instanceof GenerationEffect.RequestSlot e) {
            slots.request(e, this::post);
        } else if (effect instanceof GenerationEffect.StartAttempt e) {
            log.started(e);
            attempts.start(e, slots.address(e.endpoint()));
        } else {
            carryOutRare(effect);
        }
    }

    private void carryOutRare(GenerationEffect effect) {
        if (effect instanceof GenerationEffect.EndAttempt e) {
            attempts.end(e.generation());
            slots.release(e.generation(), e.attempt(), e.endpoint(), e.cause());
            log.ended(e);
        } else if (effect instanceof GenerationEffect.WithdrawSlot e) {
            slots.withdraw(e.generation(), e.attempt());
        } else if (effect instanceof GenerationEffect.Resumed e) {
            stats.countResumed(e.recomputed());
            LogEvent.info(LOG, "generation.resumed")
                    .with("generation", e.generation())
                    .with("millis", e.millis())
                    .with("recomputed_tokens", e.recomputed())
                    .write();
        } else if (effect instanceof GenerationEffect.EndpointLost e) {
            LogEvent.warning(LOG, "endpoint.lost")
                    .with("endpoint", e.endpoint())
                    .with("generations", e.running().size())
                    .write();
            whenLost.accept(e);
        } else if (effect instanceof GenerationEffect.Drained) {
            drained.countDown();
        }
    }
}
