/**
 * The ledger of orders: calls to plain services that may not be repeated. {@code LedgerState} is
 * the replicated record of every order; {@code OrderFlow} drives the orders of one router through
 * it. Together they dispatch each order at most once and say "not run" only where nothing can have
 * reached an endpoint.
 */
package io.siskintrail.internal.ledger;
