package io.siskintrail.wire.control;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.replicated.ReplicatedState;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;

/**
 * A replicated log with one replica in memory, for tests and for trying out one process alone. A
 * proposal is committed, applied and delivered to the listeners before {@link #propose} returns.
 *
 * @param <C> the commands
 * @param <A> the answers
 * @param <S> the images
 */
public final class LocalControlClient<C, A, S> implements ControlClient {
    private static final long TERM = 1;

    private final ReplicatedState<C, A, S> state;
    private final StateCodec<C, A, S> codec;
    private final LongSupplier wallMillis;
    private final List<CommittedListener> listeners = new ArrayList<>();
    private LogPosition last = LogPosition.ZERO;
    private long lastAtMillis;

    /**
     * Makes a log in front of {@code state}.
     *
     * @param state the state that commands are applied to; owned by this client from now on
     * @param codec converts its commands, answers and images
     * @param wallMillis the wall clock in milliseconds
     */
    public LocalControlClient(
            ReplicatedState<C, A, S> state, StateCodec<C, A, S> codec, LongSupplier wallMillis) {
        this.state = state;
        this.codec = codec;
        this.wallMillis = wallMillis;
    }

    @Override
    public synchronized CompletionStage<byte[]> propose(byte[] command) {
        last = new LogPosition(TERM, last.index() + 1);
        lastAtMillis = Math.max(lastAtMillis, wallMillis.getAsLong());
        A answer = state.apply(last, lastAtMillis, codec.decodeCommand(command));
        for (CommittedListener listener : listeners) {
            listener.entry(last, lastAtMillis, command);
        }
        return CompletableFuture.completedFuture(codec.encodeAnswer(answer));
    }

    @Override
    public synchronized void follow(CommittedListener listener) {
        if (last.index() > 0) {
            listener.snapshot(last, codec.encodeImage(state.image()));
        }
        listeners.add(listener);
    }
}
