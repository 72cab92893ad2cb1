package io.siskintrail.router.internal.account;

import io.siskintrail.lib.AccountId;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.service.SecretHashes;
import java.util.List;
import java.util.Optional;

/** Finds the client account of an API key by the SHA-256 of the key. */
public final class ApiKeys {
    private final SecretHashes<AccountId> owners = new SecretHashes<>();

    /** Takes the accounts of the settings. */
    public ApiKeys(List<RouterSettings.Account> accounts) {
        accounts.forEach(a -> owners.add(a.id(), a.keySha256()));
    }

    /** Returns the account of {@code key}; the time taken does not depend on which one matches. */
    public Optional<AccountId> accountOf(String key) {
        return owners.ownerOf(key);
    }

    /** Returns the SHA-256 of {@code key} in hexadecimal, as it stands in the settings. */
    public static String hashOf(String key) {
        return SecretHashes.hashOf(key);
    }
}
