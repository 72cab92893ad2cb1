package io.siskintrail.internal.session;

import io.siskintrail.internal.consensus.Payload;

/**
 * A command with the number that makes its repeats one.
 *
 * @param client the session of the client; a random number when the command opens one
 * @param number the number within the session; 0 opens the session and carries no command
 * @param floor the client has the answers to all lower numbers
 * @param command the encoded command
 */
public record NumberedCommand(long client, long number, long floor, Payload command) {

    /** Returns the command that opens a session. */
    public static NumberedCommand open(long nonce) {
        return new NumberedCommand(nonce, 0, 0, Payload.EMPTY);
    }

    /** Returns whether this opens the session. */
    public boolean opens() {
        return number == 0;
    }
}
