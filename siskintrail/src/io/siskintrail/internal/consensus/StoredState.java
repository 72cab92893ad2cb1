package io.siskintrail.internal.consensus;

import java.util.List;

/**
 * What a replica finds on its disk when it starts.
 *
 * @param hardState the latest term and vote
 * @param snapshot the latest snapshot
 * @param entries the entries after it, with none missing; may begin before its position
 */
public record StoredState(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {

    /** Copies the entries. */
    public StoredState {
        entries = List.copyOf(entries);
    }
}
