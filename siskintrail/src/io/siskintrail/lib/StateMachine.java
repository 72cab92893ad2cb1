package io.siskintrail.lib;

import java.util.List;

/**
 * A state machine without side effects: takes one input and the current time, updates its own state
 * and returns the effects that the caller has to carry out, in order.
 *
 * <p>Implementations are deterministic. They hold no thread, socket, file, clock or unseeded random
 * source, and are called from one thread at a time.
 *
 * @param <I> the inputs, a sealed type
 * @param <E> the effects, a sealed type
 */
public interface StateMachine<I, E> {

    /**
     * Applies one input.
     *
     * @param nowMillis the time of a monotonic clock in milliseconds; never decreases between calls
     * @param input the event to apply
     * @return the effects in the order in which the caller carries them out; empty when there are
     *     none
     */
    List<E> step(long nowMillis, I input);
}
