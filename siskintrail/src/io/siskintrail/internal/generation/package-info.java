/**
 * State machines that decide which tokens are delivered to a caller, when an attempt ends, where a
 * generation resumes after a loss, and which router owns it.
 *
 * <p>The owner of a generation replicates its journal to a buddy: another router, which takes over
 * when the owner is gone.
 *
 * <p>{@link io.siskintrail.internal.generation.GenerationMachine} holds the generations of one
 * stripe of a router. A stripe is chosen by a hash of the {@link
 * io.siskintrail.internal.generation.RequestRef}, so every message about a request reaches the same
 * stripe.
 */
package io.siskintrail.internal.generation;
