package io.siskintrail.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * Finds who owns a secret by the SHA-256 of the secret. Safe for use by several threads once all
 * owners are added.
 *
 * @param <T> the owners
 */
public final class SecretHashes<T> {
    private final List<Entry<T>> entries = new ArrayList<>();

    private record Entry<T>(T owner, byte[] hash) {}

    /** Adds an owner with the SHA-256 of its secret in hexadecimal. */
    public void add(T owner, String sha256) {
        entries.add(new Entry<>(owner, HexFormat.of().parseHex(sha256)));
    }

    /** Returns who owns {@code secret}; the time taken does not depend on which one matches. */
    public Optional<T> ownerOf(String secret) {
        byte[] hash = sha256(secret);
        T found = null;
        for (Entry<T> e : entries) {
            if (MessageDigest.isEqual(hash, e.hash)) {
                found = e.owner;
            }
        }
        return Optional.ofNullable(found);
    }

    /** Returns the SHA-256 of {@code secret} in hexadecimal, as it stands in the settings. */
    public static String hashOf(String secret) {
        return HexFormat.of().formatHex(sha256(secret));
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this JDK", e);
        }
    }
}
