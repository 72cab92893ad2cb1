/**
 * Exactly-once proposals over a log that may repeat them: each client numbers its commands, and the
 * replicated state remembers the answers. The method is that of section 6.3 of D. Ongaro,
 * "Consensus: Bridging Theory and Practice", Stanford 2014.
 */
package io.siskintrail.internal.session;
