package io.siskintrail.internal.replicated;

/**
 * State that every control replica computes from the committed log. Applying the same commands in
 * the same order gives the same state and the same answers on all of them.
 *
 * @param <C> the commands, a sealed type
 * @param <A> the answers, a sealed type
 * @param <S> the image that a snapshot holds, an immutable record
 */
public interface ReplicatedState<C, A, S> {

    /**
     * Applies a committed command.
     *
     * @param position where the command stands in the log; usable as a fencing number
     * @param atMillis wall-clock time in milliseconds that the leader stamped on the entry; never
     *     decreases along the log
     * @param command the command
     * @return the answer to whoever proposed it
     */
    A apply(LogPosition position, long atMillis, C command);

    /** Returns the whole state as an immutable image. */
    S image();

    /** Replaces the whole state by {@code image}. */
    void restore(S image);
}
