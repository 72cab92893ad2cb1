package io.siskintrail.internal.traffic;

import io.siskintrail.lib.AccountId;
import java.util.List;

/**
 * A client account of the configuration.
 *
 * @param id its name
 * @param keys the keys that its clients may use
 * @param rank the rank of all its requests; null when that of the route holds
 */
public record Account(AccountId id, List<String> keys, Integer rank) {

    /** Copies the keys. */
    public Account {
        keys = List.copyOf(keys);
    }
}
