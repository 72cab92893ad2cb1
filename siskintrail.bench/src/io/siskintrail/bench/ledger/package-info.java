/** Measures the order ledger on replicated disks. */
package io.siskintrail.bench.ledger;
