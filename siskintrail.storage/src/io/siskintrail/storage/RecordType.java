package io.siskintrail.storage;

/** What a record of the write-ahead log says. */
enum RecordType {
    /** The term and the vote. */
    HARD_STATE(1),
    /** The next entry. */
    ENTRY(2),
    /** All entries from an index on are void. */
    TRUNCATE(3),
    /** All entries are void; a snapshot took their place. */
    RESET(4),
    /** The first record of a segment: the term and the vote; each write after it is marked. */
    BEGIN(5),
    /** The first record of a write: everything before it in the segment was durable by then. */
    WRITE(6);

    private final byte number;

    RecordType(int number) {
        this.number = (byte) number;
    }

    byte number() {
        return number;
    }

    /** Returns the type with {@code number}, null when there is none. */
    static RecordType of(byte number) {
        for (RecordType type : values()) {
            if (type.number == number) {
                return type;
            }
        }
        return null;
    }
}
