package io.siskintrail.storage;

import java.nio.ByteBuffer;
import java.util.function.Predicate;
import java.util.zip.CRC32C;

/**
 * The frame of a record: a mark of two bytes, the length of the body, the CRC-32C (RFC 3720) of
 * type and body, the type, the body.
 */
final class RecordFormat {
    static final int HEADER_BYTES = 2 + Integer.BYTES + Integer.BYTES + 1;
    private static final short MARK = 0x5357;

    private RecordFormat() {}

    /** A record that was read: its type, its body and where the next one begins. */
    record Frame(RecordType type, byte[] body, int end) {}

    static byte[] encode(RecordType type, byte[] body) {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + body.length);
        b.putShort(MARK);
        b.putInt(body.length);
        b.putInt(checksum(type.number(), body, 0, body.length));
        b.put(type.number());
        b.put(body);
        return b.array();
    }

    /** Returns the record at {@code offset}, null when there is no whole and sound one. */
    static Frame decode(byte[] file, int offset) {
        if (file.length - offset < HEADER_BYTES) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(file, offset, file.length - offset);
        if (b.getShort() != MARK) {
            return null;
        }
        int length = b.getInt();
        int checksum = b.getInt();
        byte number = b.get();
        RecordType type = RecordType.of(number);
        int start = offset + HEADER_BYTES;
        if (type == null || length < 0 || length > file.length - start) {
            return null;
        }
        if (checksum(number, file, start, length) != checksum) {
            return null;
        }
        byte[] body = new byte[length];
        System.arraycopy(file, start, body, 0, length);
        return new Frame(type, body, start + length);
    }

    /**
     * Returns the offset of the first sound record at or after {@code from} whose type is {@code
     * wanted}, -1 when none.
     */
    static int findNext(byte[] file, int from, Predicate<RecordType> wanted) {
        for (int i = from; i <= file.length - HEADER_BYTES; i++) {
            Frame frame = decode(file, i);
            if (frame != null && wanted.test(frame.type())) {
                return i;
            }
        }
        return -1;
    }

    private static int checksum(byte type, byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(type);
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
