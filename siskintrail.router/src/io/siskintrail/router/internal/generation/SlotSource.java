package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.AttemptEnd;
import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import java.util.function.Consumer;

/** Hands out places at engines. Called by the threads of all stripes. */
public interface SlotSource {

    /**
     * Queues for a slot.
     *
     * @param request what asks, and what it would rather avoid
     * @param answer takes the one SlotGranted or SlotRefused; may be called on any thread
     */
    void request(GenerationEffect.RequestSlot request, Consumer<GenerationInput> answer);

    /** Leaves the queue, or gives back a slot that was granted meanwhile. */
    void withdraw(GenerationId generation, int attempt);

    /** Gives a slot back after its use. */
    void release(GenerationId generation, int attempt, EndpointId endpoint, AttemptEnd cause);

    /** Returns {@code ip:port} of an endpoint that a slot was granted at, null when forgotten. */
    String address(EndpointId endpoint);

    /** Notes tokens that a generation has got from its engine; called by its stripe's thread. */
    default void progress(GenerationId generation, int tokens) {}
}
