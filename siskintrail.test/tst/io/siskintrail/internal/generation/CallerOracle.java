package io.siskintrail.internal.generation;

import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ResultCode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Test oracle for delivered answers. It records every token that an engine computed and the prefix
 * that the token followed. An answer is correct when an engine computed each of its tokens after
 * exactly the tokens before it, and the answer ends where an engine ended it. Engines that sample
 * different tokens in each attempt expose any mixture of two attempts.
 */
final class CallerOracle {
    /** Next prefix hash by the hash of a prefix and the token that followed it. */
    private final Map<Long, Map<Integer, Long>> computedTokens = new HashMap<>();

    private final Set<Long> endedPrefixes = new HashSet<>();

    /** Returns the hash of the empty prefix of an answer. */
    static long emptyPrefix(Fingerprint fingerprint, ModelId model) {
        return hashPair(fingerprint.low(), model.hashCode());
    }

    /** Returns the hash of {@code prefix} extended by {@code token}. */
    static long extendPrefix(long prefix, int token) {
        return hashPair(prefix, token);
    }

    /** Returns a 64-bit hash of two values; the last steps are those of SplitMix64. */
    static long hashPair(long a, long b) {
        long z = a * 0x9E3779B97F4A7C15L + b + 0x632BE59BD9B4E019L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    void recordToken(long prefix, int token) {
        computedTokens
                .computeIfAbsent(prefix, p -> new HashMap<>())
                .put(token, extendPrefix(prefix, token));
    }

    void recordEnd(long prefix) {
        endedPrefixes.add(prefix);
    }

    /**
     * Returns the hash of the prefix after {@code run}; throws Violation when no engine computed
     * one of its tokens after the tokens before that one.
     *
     * @param emptyPrefixes hashes of the empty prefix, one per model version
     * @param prefix hash of the tokens so far, null when there are none
     * @param run the next tokens of the answer
     * @param callerDescription description of the caller for the message of a Violation
     */
    long verifyRun(List<Long> emptyPrefixes, Long prefix, TokenRun run, String callerDescription) {
        Long current = prefix;
        for (int i = 0; i < run.size(); i++) {
            current = nextPrefixOrNull(emptyPrefixes, current, run.id(i));
            if (current == null) {
                throw new Violation(
                        callerDescription
                                + ": no engine computed token "
                                + i
                                + " of "
                                + run
                                + " after the preceding tokens");
            }
        }
        return current;
    }

    /** Throws Violation when no engine ended an answer at {@code prefix}, null for no tokens. */
    void checkEnd(List<Long> emptyPrefixes, Long prefix, String callerDescription) {
        boolean endedByEngine =
                prefix == null
                        ? emptyPrefixes.stream().anyMatch(endedPrefixes::contains)
                        : endedPrefixes.contains(prefix);
        if (!endedByEngine) {
            throw new Violation(
                    callerDescription
                            + ": received OK, but no engine ended the answer after these tokens");
        }
    }

    private Long nextPrefixOrNull(List<Long> emptyPrefixes, Long prefix, int token) {
        if (prefix != null) {
            return computedTokens.getOrDefault(prefix, Map.of()).get(token);
        }
        for (long emptyPrefix : emptyPrefixes) {
            Long next = computedTokens.getOrDefault(emptyPrefix, Map.of()).get(token);
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /** Thrown when a delivery guarantee is violated. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }

    /** Returns whether {@code code} means that the caller should reconnect. */
    static boolean asksToReconnect(ResultCode code) {
        return code == ResultCode.GENERATION_MOVED;
    }
}
