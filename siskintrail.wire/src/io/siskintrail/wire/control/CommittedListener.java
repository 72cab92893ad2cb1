package io.siskintrail.wire.control;

import io.siskintrail.internal.replicated.LogPosition;

/**
 * Receives the committed log in order. Positions only grow, except that a snapshot may repeat the
 * position of the last entry. Called on one thread at a time.
 */
public interface CommittedListener {

    /**
     * Takes the next committed command.
     *
     * @param position the position of its entry
     * @param atMillis the wall-clock time in milliseconds that the leader stamped
     * @param command the encoded command
     */
    void entry(LogPosition position, long atMillis, byte[] command);

    /**
     * Takes an image that replaces everything delivered before.
     *
     * @param position the position of the last entry that the image contains
     * @param image the encoded image
     */
    void snapshot(LogPosition position, byte[] image);
}
