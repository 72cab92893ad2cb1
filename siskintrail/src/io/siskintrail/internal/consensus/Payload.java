package io.siskintrail.internal.consensus;

import java.util.Arrays;

/** Immutable bytes whose meaning the log does not know. */
public final class Payload {
    /** No bytes. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Wraps {@code bytes} without a copy; the caller gives the array away. */
    public static Payload wrap(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Payload(bytes);
    }

    /** Returns the wrapped array, which must not be changed. */
    public byte[] array() {
        return bytes;
    }

    /** Returns the number of bytes. */
    public int length() {
        return bytes.length;
    }

    /** Returns a copy of {@code length} bytes from {@code offset}. */
    public Payload slice(int offset, int length) {
        return wrap(Arrays.copyOfRange(bytes, offset, offset + length));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload p && Arrays.equals(bytes, p.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return bytes.length + " bytes";
    }
}
