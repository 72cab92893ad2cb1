package io.siskintrail.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/** Finds the operator of a token by the SHA-256 of the token. */
public final class OperatorTokens {
    private final List<Entry> entries;

    private record Entry(String operator, byte[] hash) {}

    /**
     * An operator as the settings name it.
     *
     * @param operator the name that the history shows
     * @param tokenSha256 the SHA-256 of the token in hexadecimal
     */
    public record Operator(String operator, String tokenSha256) {
        private static final String HEX_OF_32_BYTES = "[0-9a-f]{64}";

        /** Checks the name and the hash. */
        public Operator {
            SettingsException.require(
                    operator != null && !operator.isEmpty(), "operator", "a name");
            SettingsException.require(
                    tokenSha256 != null && tokenSha256.matches(HEX_OF_32_BYTES),
                    "tokenSha256",
                    "64 lower-case hexadecimal digits");
        }
    }

    /** Takes the operators of the settings. */
    public OperatorTokens(List<Operator> operators) {
        entries =
                operators.stream()
                        .map(o -> new Entry(o.operator(), HexFormat.of().parseHex(o.tokenSha256())))
                        .toList();
    }

    /** Returns who owns {@code token}; the time taken does not depend on which one matches. */
    public Optional<String> operatorOf(String token) {
        byte[] hash = sha256(token);
        String found = null;
        for (Entry e : entries) {
            if (MessageDigest.isEqual(hash, e.hash)) {
                found = e.operator;
            }
        }
        return Optional.ofNullable(found);
    }

    /** Returns the SHA-256 of {@code token} in hexadecimal, as it stands in the settings. */
    public static String hashOf(String token) {
        return HexFormat.of().formatHex(sha256(token));
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
