/**
 * The replicated log as a pure state machine. The method is Raft: D. Ongaro and J. Ousterhout, "In
 * Search of an Understandable Consensus Algorithm", USENIX ATC 2014, with the pre-vote, the
 * check-quorum rule, the leader lease, leadership transfer and one membership change at a time of
 * D. Ongaro, "Consensus: Bridging Theory and Practice", Stanford 2014.
 */
package io.siskintrail.internal.consensus;
