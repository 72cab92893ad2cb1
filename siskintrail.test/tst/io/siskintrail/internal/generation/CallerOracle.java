package io.siskintrail.internal.generation;

import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ResultCode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Knows every token that an engine computed and after which prefix. An answer is right when each of
 * its tokens was computed after exactly the tokens before it, and it ends where an engine ended it.
 * Engines that draw other tokens in each attempt make any mixture of two attempts visible.
 */
final class CallerOracle {
    private final Map<Long, Map<Integer, Long>> computed = new HashMap<>();
    private final Set<Long> ends = new HashSet<>();

    /** Returns the prefix of an answer without tokens. */
    static long root(Fingerprint fingerprint, ModelId model) {
        return mix(fingerprint.low(), model.hashCode());
    }

    /** Returns the prefix that {@code prefix} becomes with {@code token}. */
    static long next(long prefix, int token) {
        return mix(prefix, token);
    }

    static long mix(long a, long b) {
        long z = a * 0x9E3779B97F4A7C15L + b + 0x632BE59BD9B4E019L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    void computed(long prefix, int token) {
        computed.computeIfAbsent(prefix, p -> new HashMap<>()).put(token, next(prefix, token));
    }

    void ended(long prefix) {
        ends.add(prefix);
    }

    /** Returns the prefix after {@code run}, or fails when a token does not belong there. */
    long follow(List<Long> roots, Long prefix, TokenRun run, String who) {
        Long at = prefix;
        for (int i = 0; i < run.size(); i++) {
            at = step(roots, at, run.id(i));
            if (at == null) {
                throw new Violation(who + ": token " + i + " of " + run + " has another prefix");
            }
        }
        return at;
    }

    void checkEnd(List<Long> roots, Long prefix, String who) {
        boolean ended =
                prefix == null ? roots.stream().anyMatch(ends::contains) : ends.contains(prefix);
        if (!ended) {
            throw new Violation(who + ": told that the answer is whole, but it is not");
        }
    }

    private Long step(List<Long> roots, Long prefix, int token) {
        if (prefix != null) {
            return computed.getOrDefault(prefix, Map.of()).get(token);
        }
        for (long root : roots) {
            Long next = computed.getOrDefault(root, Map.of()).get(token);
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /** Thrown when a promise is broken. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }

    /** Codes that mean that a caller should connect again. */
    static boolean asksToReconnect(ResultCode code) {
        return code == ResultCode.GENERATION_MOVED;
    }
}
