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
    RESET(4);

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
