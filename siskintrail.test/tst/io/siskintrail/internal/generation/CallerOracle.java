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
    private final Map<Long, Map<Integer, Long>> computedTokens = new HashMap<>();
    private final Set<Long> endPrefixes = new HashSet<>();

    /** Returns the hash of the empty prefix of an answer. */
    static long emptyPrefix(Fingerprint fingerprint, ModelId model) {
        return mix(fingerprint.low(), model.hashCode());
    }

    /** Returns the hash of {@code prefix} extended by {@code token}. */
    static long extendPrefix(long prefix, int token) {
        return mix(prefix, token);
    }

    static long mix(long a, long b) {
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
        endPrefixes.add(prefix);
    }

    /**
     * Returns the hash of the prefix after {@code run}; throws Violation when no engine computed a
     * token after its prefix.
     *
     * @param emptyPrefixes hashes of the empty prefix, one per model version
     * @param prefix hash of the tokens so far, null when there are none
     */
    long follow(List<Long> emptyPrefixes, Long prefix, TokenRun run, String caller) {
        Long current = prefix;
        for (int i = 0; i < run.size(); i++) {
            current = nextOrNull(emptyPrefixes, current, run.id(i));
            if (current == null) {
                throw new Violation(
                        caller
                                + ": no engine computed token "
                                + i
                                + " of "
                                + run
                                + " after this prefix");
            }
        }
        return current;
    }

    void checkEnd(List<Long> emptyPrefixes, Long prefix, String caller) {
        boolean endedByEngine =
                prefix == null
                        ? emptyPrefixes.stream().anyMatch(endPrefixes::contains)
                        : endPrefixes.contains(prefix);
        if (!endedByEngine) {
            throw new Violation(caller + ": received OK, but no engine ended the answer here");
        }
    }

    private Long nextOrNull(List<Long> emptyPrefixes, Long prefix, int token) {
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
