/**
 * Compares ways to know that rules are current, with the protocol's own classes in virtual time.
 */
package io.siskintrail.bench.inforce;
