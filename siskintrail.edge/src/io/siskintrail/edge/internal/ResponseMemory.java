package io.siskintrail.edge.internal;

/** Memory that the response bodies buffered by all attempts share. Confined to the event loop. */
final class ResponseMemory {
    /** Together with the request bodies, less than half of the heap. */
    private static final int MAX_BYTES = 12 << 20;

    private int usedBytes;

    /** Reserves {@code bytes}; returns whether there was room for them. */
    boolean tryReserve(int bytes) {
        if (bytes > MAX_BYTES - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        usedBytes -= bytes;
    }
}
