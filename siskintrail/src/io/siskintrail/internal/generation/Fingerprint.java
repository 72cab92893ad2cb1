package io.siskintrail.internal.generation;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.siskintrail.lib.AccountId;

/**
 * Digest of a client account and the content of its request. The idempotency key does not affect
 * it.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Fingerprint(long high, long low) {

    /** Returns the fingerprint of {@code content} sent by {@code account}. */
    public static Fingerprint of(AccountId account, String content) {
        HashValue128 hash =
                Hashing.murmur3_128()
                        .hashStream()
                        .putString(account.value())
                        .putString(content)
                        .get();
        return new Fingerprint(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Fingerprint that && high == that.high && low == that.low;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(high ^ low);
    }
}
