package io.siskintrail.edge.internal;

import java.util.ArrayList;
import java.util.List;

/** Body of a response that is buffered as it arrives. Confined to the event loop. */
final class ResponseBuffer {
    /** Memory of a piece beside its bytes: an array and a reference to it. */
    private static final int PIECE_OVERHEAD_BYTES = 32;

    private final ResponseMemory memory;
    private final int maxBytes;
    private final List<byte[]> pieces = new ArrayList<>();
    private int length;
    private int reservedBytes;

    /** Creates an empty buffer of at most {@code maxBytes}, which it takes from {@code memory}. */
    ResponseBuffer(ResponseMemory memory, int maxBytes) {
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    /** Appends {@code bytes}; returns false if the body exceeds its limit or that of the memory. */
    boolean tryAdd(byte[] bytes) {
        int needed = bytes.length + PIECE_OVERHEAD_BYTES;
        if (length + bytes.length > maxBytes || !memory.tryReserve(needed)) {
            return false;
        }
        reservedBytes += needed;
        length += bytes.length;
        pieces.add(bytes);
        return true;
    }

    /** Returns the memory, which this buffer no longer takes up once its owner is done with it. */
    void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    byte[] toByteArray() {
        byte[] body = new byte[length];
        int position = 0;
        for (byte[] piece : pieces) {
            System.arraycopy(piece, 0, body, position, piece.length);
            position += piece.length;
        }
        return body;
    }
}
