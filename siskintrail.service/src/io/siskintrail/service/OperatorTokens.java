package io.siskintrail.service;

import java.util.List;
import java.util.Optional;

/** Finds the operator of a token by the SHA-256 of the token. */
public final class OperatorTokens {
    private final SecretHashes<String> owners = new SecretHashes<>();

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
        operators.forEach(o -> owners.add(o.operator(), o.tokenSha256()));
    }

    /** Returns who owns {@code token}; the time taken does not depend on which one matches. */
    public Optional<String> operatorOf(String token) {
        return owners.ownerOf(token);
    }

    /** Returns the SHA-256 of {@code token} in hexadecimal, as it stands in the settings. */
    public static String hashOf(String token) {
        return SecretHashes.hashOf(token);
    }
}
