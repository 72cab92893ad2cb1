package io.siskintrail.internal.ledger;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ServiceName;
import java.util.Comparator;

/**
 * Identifies an order.
 *
 * @param service the plain service that it goes to
 * @param account the client account that placed it
 * @param key the caller's idempotency key, or one derived from the content
 */
public record OrderKey(ServiceName service, AccountId account, RequestKey key)
        implements Comparable<OrderKey> {
    private static final Comparator<OrderKey> ORDER =
            Comparator.comparing(OrderKey::service)
                    .thenComparing(OrderKey::account)
                    .thenComparing(OrderKey::key);

    @Override
    public int compareTo(OrderKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return service + "/" + account + "/" + key;
    }
}
