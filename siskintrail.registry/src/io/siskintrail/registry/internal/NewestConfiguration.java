package io.siskintrail.registry.internal;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The replicated state: the configuration with the highest version. Applying a command again, or an
 * older one late, changes nothing, so that commands need no sessions.
 */
final class NewestConfiguration {
    private static final byte[] NONE = new byte[0];

    private long version;
    private byte[] content = NONE;
    private byte[] image = command(0, NONE);

    /** Returns the command that sets a configuration. */
    static byte[] command(long version, byte[] content) {
        return ByteBuffer.allocate(Long.BYTES + content.length)
                .putLong(version)
                .put(content)
                .array();
    }

    /** Applies a command, which must not be changed; returns whether the configuration changed. */
    boolean apply(byte[] command) {
        if (command.length < Long.BYTES) {
            return false;
        }
        long next = ByteBuffer.wrap(command).getLong();
        if (next <= version) {
            return false;
        }
        version = next;
        content = Arrays.copyOfRange(command, Long.BYTES, command.length);
        image = command;
        return true;
    }

    /** Returns the version; 0 before the first configuration. */
    long version() {
        return version;
    }

    /** Returns the configuration as sent. */
    byte[] content() {
        return content;
    }

    /** Returns what a snapshot holds: the command itself, whose bytes the log shares. */
    byte[] image() {
        return image;
    }
}
