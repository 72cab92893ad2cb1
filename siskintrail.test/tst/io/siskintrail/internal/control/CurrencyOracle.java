package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Says what the users were promised: accepted edits form one sequence, each host sees it in order
 * and never goes back, and every host that takes work has an accepted edit within the bound.
 */
final class CurrencyOracle {
    /** From acceptance to force on every host that takes new work. */
    static final long BOUND_MILLIS = 2_000;

    private final Map<Long, Configuration> committed = new HashMap<>();
    private final TreeMap<Long, Long> acceptedAt = new TreeMap<>();
    private final Map<Long, String> toldContent = new HashMap<>();
    private final Map<HostId, Long> served = new HashMap<>();
    private long acceptedEdits;
    private long servingChecks;

    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String format, Object... args) {
            super(format.formatted(args));
        }
    }

    void committed(Configuration configuration) {
        Configuration other = committed.putIfAbsent(configuration.version(), configuration);
        if (other != null && !other.equals(configuration)) {
            throw new Violation("version %d has two contents", configuration.version());
        }
    }

    /** Versions up to {@code version} are accepted from now on. */
    void accepted(long now, long version) {
        if (acceptedAt.isEmpty() || acceptedAt.lastKey() < version) {
            acceptedAt.put(version, now);
        }
    }

    /** An operator was told that its edit has become rules {@code number}. */
    void toldAccepted(long number, long version, String content) {
        acceptedEdits++;
        String other = toldContent.putIfAbsent(number, content);
        if (other != null && !other.equals(content)) {
            throw new Violation("two edits were accepted as number %d", number);
        }
        if (!content.equals(committed.get(version).rulesText())) {
            throw new Violation("the accepted edit %d is not in the sequence", number);
        }
    }

    /** An operator was told that another edit won. */
    void toldRefused(RulesEdit winner, String content) {
        if (winner != null && winner.digest().equals(LineChange.digest(content))) {
            throw new Violation("the winning edit %d was refused on a repeat", winner.number());
        }
        if (winner != null && toldContent.containsValue(content)) {
            throw new Violation("the accepted edit %s was refused later", content);
        }
    }

    /** A host takes new work under {@code view}. */
    void serves(long now, HostId host, Configuration view) {
        servingChecks++;
        Configuration same = committed.get(view.version());
        if (same != null && !same.equals(view) || same == null && view.version() > 0) {
            throw new Violation("%s serves a version that was never committed", host);
        }
        long before = served.merge(host, view.version(), Math::max);
        if (before > view.version()) {
            throw new Violation("%s went from %d back to %d", host, before, view.version());
        }
        for (var e : acceptedAt.tailMap(view.version(), false).entrySet()) {
            if (now - e.getValue() >= BOUND_MILLIS) {
                throw new Violation(
                        "%s serves %d, %d was accepted %d ms ago",
                        host, view.version(), e.getKey(), now - e.getValue());
            }
        }
    }

    long acceptedEdits() {
        return acceptedEdits;
    }

    long servingChecks() {
        return servingChecks;
    }
}
