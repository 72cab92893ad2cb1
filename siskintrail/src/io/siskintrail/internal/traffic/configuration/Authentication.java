package io.siskintrail.internal.traffic.configuration;

import java.util.List;

/**
 * Says whether requests on routes that are not anonymous need an API key. A configuration without a
 * list of client accounts and one whose list is empty are opposites: the first lets everyone in,
 * the second no one.
 */
public sealed interface Authentication {

    /** Returns the client accounts; empty if there are none, whether or not a key is needed. */
    List<Account> accounts();

    /** Requests need no API key, since the configuration has no list of client accounts. */
    record None() implements Authentication {

        @Override
        public List<Account> accounts() {
            return List.of();
        }
    }

    /**
     * Requests need the API key of a client account.
     *
     * @param accounts the client accounts; when empty, no key is accepted
     */
    record ByApiKey(List<Account> accounts) implements Authentication {

        /** Makes the list of accounts immutable. */
        public ByApiKey {
            accounts = List.copyOf(accounts);
        }
    }
}
