package io.siskintrail.internal.consensus;

import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotChunk;

/** Puts the pieces of one snapshot together. */
final class SnapshotAssembly {
    private Snapshot header;
    private long term;
    private byte[] image;
    private int length;

    /**
     * Takes the next piece; a piece of another snapshot or leader starts anew, a gap or repeat is
     * ignored.
     */
    void take(SnapshotChunk chunk) {
        if (!chunk.snapshot().equals(header) || chunk.term() != term) {
            header = chunk.snapshot();
            term = chunk.term();
            image = new byte[chunk.totalBytes()];
            length = 0;
        }
        if (chunk.offset() != length) {
            return;
        }
        byte[] data = chunk.data().array();
        System.arraycopy(data, 0, image, length, data.length);
        length += data.length;
    }

    boolean isWhole() {
        return header != null && length == image.length;
    }

    int length() {
        return length;
    }

    Snapshot snapshot() {
        return new Snapshot(
                header.position(), header.atMillis(), header.replicas(), Payload.wrap(image));
    }

    void clear() {
        header = null;
        image = null;
        length = 0;
    }
}
