package io.siskintrail.router.internal.policy;

import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.internal.policy.WorkRequest;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A generation that waits for a slot or has one. Lives on the control thread, but for the counts of
 * tokens, which the stripe of the generation writes.
 */
final class SlotTicket {
    final WorkRequest request;
    final GenerationId generation;
    final long submittedAt;
    final AtomicInteger tokens = new AtomicInteger();
    int attempt;
    Consumer<GenerationInput> answer;
    EndpointId endpoint;
    boolean suspending;
    boolean awaitsRequest;
    volatile long lastTokenAt;

    SlotTicket(
            WorkRequest request,
            GenerationId generation,
            int attempt,
            Consumer<GenerationInput> answer,
            long submittedAt) {
        this.request = request;
        this.generation = generation;
        this.attempt = attempt;
        this.answer = answer;
        this.submittedAt = submittedAt;
    }
}
