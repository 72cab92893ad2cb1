package io.siskintrail.internal.ledger;

import io.siskintrail.lib.HostId;

/**
 * Identifies one claim of an order. No two claims share an id, also not across restarts, so a
 * delayed command of an old claim never acts on a newer one.
 *
 * @param host the host whose router claims
 * @param boot a number that differs for every start of that router
 * @param number counts the claims of that start
 */
public record ClaimId(HostId host, long boot, long number) {

    @Override
    public String toString() {
        return "%s.%x.%d".formatted(host, boot, number);
    }
}
