package io.siskintrail.internal.control;

import java.util.List;

/**
 * An applied edit of the rules: who, when and what.
 *
 * @param number the number of the rules that the edit made
 * @param version the version of the configuration that the edit made
 * @param operator who applied it
 * @param atMillis wall-clock time in milliseconds that the leader stamped
 * @param digest the digest of the whole file in hexadecimal
 * @param added lines that the file before did not have
 * @param removed lines of the file before that are gone
 * @param truncated whether lines of the change were left out because there are too many
 */
public record RulesEdit(
        long number,
        long version,
        String operator,
        long atMillis,
        String digest,
        List<String> added,
        List<String> removed,
        boolean truncated) {

    /** Copies the lists. */
    public RulesEdit {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }
}
