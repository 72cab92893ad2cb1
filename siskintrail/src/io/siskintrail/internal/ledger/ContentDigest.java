package io.siskintrail.internal.ledger;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.RequestKey;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest of what an order asks for. Two requests under one key must have the same digest.
 *
 * @param hex 32 hexadecimal digits: the first half of a SHA-256
 */
public record ContentDigest(String hex) {
    private static final String ALGORITHM = "SHA-256";
    private static final int BYTES = 16;
    private static final String DERIVED_PREFIX = "digest-";

    /**
     * Computes the digest of a request.
     *
     * @param account the client account
     * @param method the HTTP method
     * @param path the path below the service, with the query
     * @param body the body; empty when there is none
     */
    public static ContentDigest of(AccountId account, String method, String path, byte[] body) {
        MessageDigest sha = sha256();
        updateField(sha, account.value().getBytes(StandardCharsets.UTF_8));
        updateField(sha, method.getBytes(StandardCharsets.UTF_8));
        updateField(sha, path.getBytes(StandardCharsets.UTF_8));
        updateField(sha, body);
        return new ContentDigest(HexFormat.of().formatHex(sha.digest(), 0, BYTES));
    }

    /**
     * Returns the key of a request that carries none. Equal requests get equal keys, so a second
     * order that is wanted and has the same content counts as a repeat while the record lives.
     */
    public RequestKey derivedKey() {
        return new RequestKey(DERIVED_PREFIX + hex);
    }

    /** Feeds the length first, so that two fields cannot run into each other. */
    private static void updateField(MessageDigest sha, byte[] field) {
        sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
        sha.update(field);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from this JDK", e);
        }
    }
}
