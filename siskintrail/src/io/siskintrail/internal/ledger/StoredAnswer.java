package io.siskintrail.internal.ledger;

import java.util.Arrays;

/**
 * The answer of an endpoint to an order, as the ledger keeps it.
 *
 * @param status the HTTP status
 * @param contentType the media type; empty when the endpoint gave none
 * @param body the body; never changed after construction; empty when not kept
 * @param kept whether the body is here; false when it was over the limits of the ledger
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean kept) {
    private static final byte[] NONE = {};

    /** Returns an answer with its body. */
    public static StoredAnswer of(int status, String contentType, byte[] body) {
        return new StoredAnswer(status, contentType, body, true);
    }

    /** Returns the same answer without its body. */
    public StoredAnswer withoutBody() {
        return new StoredAnswer(status, contentType, NONE, false);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof StoredAnswer a
                && status == a.status
                && kept == a.kept
                && contentType.equals(a.contentType)
                && Arrays.equals(body, a.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }
}
