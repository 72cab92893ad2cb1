package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.consensus.EntryBody;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.replicated.ReplicatedState;
import io.siskintrail.internal.session.NumberedCommand;
import io.siskintrail.internal.session.SessionTable;
import io.siskintrail.wire.control.CommittedListener;
import io.siskintrail.wire.control.ControlMessage;
import io.siskintrail.wire.control.ControlMessageCodec;
import io.siskintrail.wire.control.ReplicatedImage;
import io.siskintrail.wire.control.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Applies committed entries to a replicated state, each command once, and tells local listeners.
 * Used on the control thread.
 *
 * @param <C> the commands
 * @param <A> the answers
 * @param <S> the images
 */
final class StateRunner<C, A, S> {
    private final ReplicatedState<C, A, S> state;
    private final StateCodec<C, A, S> codec;
    private final SessionTable sessions = new SessionTable();
    private final List<CommittedListener> listeners = new ArrayList<>();
    private LogPosition applied = LogPosition.ZERO;
    private long deliveredIndex;

    StateRunner(ReplicatedState<C, A, S> state, StateCodec<C, A, S> codec) {
        this.state = state;
        this.codec = codec;
    }

    long appliedIndex() {
        return applied.index();
    }

    /** Returns the index of the last entry that listeners were told of. */
    long deliveredIndex() {
        return deliveredIndex;
    }

    /** Adds a listener, which gets the state as it is and then each command. */
    void follow(CommittedListener listener) {
        if (applied.index() > 0) {
            listener.snapshot(applied, codec.encodeImage(state.image()));
            deliveredIndex = applied.index();
        }
        listeners.add(listener);
    }

    /** Applies the next entry; returns the reply to its proposer, null when it has none. */
    ControlMessage apply(LogEntry entry) {
        applied = entry.position();
        if (!(entry.body() instanceof EntryBody.Command c)) {
            return null;
        }
        NumberedCommand command = ControlMessageCodec.decodeCommand(c.payload().array());
        SessionTable.Decision decision = sessions.decide(entry.index(), entry.atMillis(), command);
        if (decision instanceof SessionTable.Decision.Opened o) {
            return new ControlMessage.Opened(command.client(), o.client());
        }
        if (decision instanceof SessionTable.Decision.Forgotten) {
            return new ControlMessage.Forgotten(command.client(), command.number());
        }
        if (decision instanceof SessionTable.Decision.Repeated r) {
            return r.answer() == null ? null : answer(command, r.answer());
        }
        return answer(command, applyOnce(entry, command));
    }

    /**
     * Captures sessions and state as of the last applied entry.
     *
     * @return encodes what was captured; may be called on another thread
     */
    Supplier<Payload> capture() {
        List<SessionTable.Image> sessionImages = sessions.images();
        S image = state.image();
        return () -> new ReplicatedImage(sessionImages, codec.encodeImage(image)).encode();
    }

    /** Replaces sessions and state by those of a snapshot. */
    void restore(Snapshot snapshot) {
        applied = snapshot.position();
        if (applied.index() == 0) {
            return;
        }
        ReplicatedImage image = ReplicatedImage.decode(snapshot.image());
        sessions.restore(image.sessions());
        state.restore(codec.decodeImage(image.state()));
        deliveredIndex = applied.index();
        listeners.forEach(l -> l.snapshot(applied, image.state()));
    }

    private Payload applyOnce(LogEntry entry, NumberedCommand command) {
        byte[] bytes = command.command().array();
        A answer = state.apply(entry.position(), entry.atMillis(), codec.decodeCommand(bytes));
        Payload encoded = Payload.wrap(codec.encodeAnswer(answer));
        sessions.record(command, encoded);
        deliveredIndex = entry.index();
        listeners.forEach(l -> l.entry(entry.position(), entry.atMillis(), bytes));
        return encoded;
    }

    private static ControlMessage answer(NumberedCommand command, Payload answer) {
        return new ControlMessage.Answered(command.client(), command.number(), answer);
    }
}
