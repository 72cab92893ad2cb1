package io.siskintrail.internal.ledger;

import java.util.List;

/**
 * The whole ledger at one position of the log.
 *
 * @param records all records, in the order of their keys
 */
public record LedgerImage(List<OrderRecord> records) {

    /** Copies the list. */
    public LedgerImage {
        records = List.copyOf(records);
    }
}
