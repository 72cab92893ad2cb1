/**
 * Calls of plain services: those that may be repeated are forwarded, the others go through the
 * ledger of orders.
 */
package io.siskintrail.router.internal.order;
