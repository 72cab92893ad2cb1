/**
 * Membership: which hosts and endpoints exist, and which endpoints may get new work.
 *
 * <p>Knowledge spreads by gossip with a failure detector after SWIM (Das, Gupta, Motivala, 2002)
 * and anti-entropy by digest after Demers et al. (1987). Gossip says who exists; it never makes an
 * endpoint usable. For that a router needs evidence: a renewal by the endpoint, or the word of the
 * router that got one, that is at most a few seconds old by the router's own clock. So the bound on
 * new work to an endpoint that leaves holds whatever messages are lost.
 */
package io.siskintrail.internal.membership;
