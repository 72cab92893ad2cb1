package io.siskintrail.bench.orders;

import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.control.CommittedListener;
import io.siskintrail.wire.control.ControlClient;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

/** The control client of one router, which springs once when an order reaches a step. */
final class Trap implements ControlClient {
    private final ControlClient log;
    private final ControlStateCodec codec = new ControlStateCodec();
    private final AtomicBoolean sprung = new AtomicBoolean();
    private volatile boolean cut;
    private volatile Step step;
    private volatile Strike strike;

    /** What to do with the message at which the trap springs. */
    enum Verdict {
        /** Deliver it. */
        PASS,
        /** Lose it. */
        LOSE,
        /** Deliver it now and once more later. */
        REPEAT
    }

    /** Carries out the fault. */
    interface Strike {
        /** Strikes and says what becomes of the message. */
        Verdict strike();
    }

    Trap(ControlClient log) {
        this.log = log;
    }

    void arm(Step at, Strike action) {
        strike = action;
        step = at;
    }

    /** Delivers nothing any more in either direction. */
    void cut() {
        cut = true;
    }

    /** Springs when {@code reached} is the armed step, for the first time. */
    Verdict reach(Step reached) {
        if (reached != step || !sprung.compareAndSet(false, true)) {
            return Verdict.PASS;
        }
        return strike.strike();
    }

    @Override
    public CompletionStage<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        Step[] steps = steps(command);
        Verdict verdict = steps == null ? Verdict.PASS : reach(steps[0]);
        if (cut) {
            return answer;
        }
        if (verdict == Verdict.LOSE) {
            answer.completeExceptionally(new IllegalStateException("the proposal was lost"));
            return answer;
        }
        if (verdict == Verdict.REPEAT) {
            CompletableFuture.delayedExecutor(1, java.util.concurrent.TimeUnit.SECONDS)
                    .execute(() -> log.propose(command));
        }
        log.propose(command)
                .whenCompleteAsync((bytes, error) -> deliver(steps, command, bytes, error, answer));
        return answer;
    }

    private void deliver(
            Step[] steps,
            byte[] command,
            byte[] bytes,
            Throwable error,
            CompletableFuture<byte[]> answer) {
        Verdict verdict = error != null || steps == null ? Verdict.PASS : reach(steps[1]);
        if (cut) {
            return;
        }
        if (verdict == Verdict.REPEAT) {
            log.propose(command);
        }
        if (error != null || verdict == Verdict.LOSE) {
            answer.completeExceptionally(new IllegalStateException("the answer was lost", error));
        } else {
            answer.complete(bytes);
        }
    }

    @Override
    public void follow(CommittedListener listener) {
        log.follow(listener);
    }

    private Step[] steps(byte[] bytes) {
        if (!(codec.decodeCommand(bytes) instanceof ControlCommand.ToLedger c)) {
            return null;
        }
        if (c.command() instanceof LedgerCommand.Claim) {
            return new Step[] {Step.CLAIM_PROPOSED, Step.CLAIM_COMMITTED};
        }
        if (c.command() instanceof LedgerCommand.Dispatch) {
            return new Step[] {Step.DISPATCH_PROPOSED, Step.DISPATCH_COMMITTED};
        }
        if (c.command() instanceof LedgerCommand.Complete) {
            return new Step[] {Step.ANSWER_PROPOSED, Step.ANSWER_COMMITTED};
        }
        return null;
    }
}
