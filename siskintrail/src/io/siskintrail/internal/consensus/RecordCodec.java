package io.siskintrail.internal.consensus;

/** Converts what a replica stores to bytes and back. */
public interface RecordCodec {

    /** Returns the bytes of {@code entry}. */
    byte[] encode(LogEntry entry);

    /** Returns the entry in {@code bytes}. */
    LogEntry decodeEntry(byte[] bytes);

    /** Returns the bytes of {@code hardState}. */
    byte[] encode(HardState hardState);

    /** Returns the term and vote in {@code bytes}. */
    HardState decodeHardState(byte[] bytes);

    /** Returns the bytes of {@code snapshot}. */
    byte[] encode(Snapshot snapshot);

    /** Returns the snapshot in {@code bytes}. */
    Snapshot decodeSnapshot(byte[] bytes);
}
