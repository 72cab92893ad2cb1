package io.siskintrail.internal.traffic.configuration;

import io.siskintrail.lib.AccountId;
import java.util.List;

/**
 * A client account of the configuration.
 *
 * @param id the configured name of the account
 * @param keys the API keys that identify requests of this account
 * @param rank the rank of all its requests, 0 is the most urgent; null to use the rank of the route
 */
public record Account(AccountId id, List<String> keys, Integer rank) {

    /** Makes the list of keys immutable. */
    public Account {
        keys = List.copyOf(keys);
    }
}
