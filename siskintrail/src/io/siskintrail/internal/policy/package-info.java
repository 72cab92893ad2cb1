/**
 * Scheduling policy of the routers: admission, queues by rank and client account, slot leases
 * between routers, routing by prefix cache and load, and suspension of generations.
 *
 * <p>{@link io.siskintrail.internal.policy.Dispatcher} is the state machine of one router; the
 * other classes are its parts. Fairness follows the virtual token counter of Sheng et al.,
 * "Fairness in Serving Large Language Models", OSDI 2024, extended to several routers.
 */
package io.siskintrail.internal.policy;
