/**
 * Decisions about generations: which tokens a caller may see, when an attempt is over, where a
 * generation goes on after a loss, and which router owns it.
 *
 * <p>{@link io.siskintrail.internal.generation.GenerationMachine} holds the generations of one
 * stripe of a router. A stripe is chosen by a hash of the {@link
 * io.siskintrail.internal.generation.RequestRef}, so every message about a request reaches the same
 * stripe.
 */
package io.siskintrail.internal.generation;
