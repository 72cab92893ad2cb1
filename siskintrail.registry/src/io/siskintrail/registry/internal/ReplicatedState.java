package io.siskintrail.registry.internal;

import io.siskintrail.internal.rollout.RolloutCommand;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.rollout.RolloutTable;
import io.siskintrail.service.LogEvent;
import io.siskintrail.wire.registry.RolloutCodec;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * The state that registries replicate: the newest configuration and the rollouts. A command begins
 * with eight bytes: the version of a configuration, or a negative number for another kind. Builds
 * without rollouts take a negative number for an outdated version and ignore the command.
 *
 * <p>Without rollouts, a snapshot is the command of the configuration, as in builds without them. A
 * snapshot with rollouts cannot be read by such a build.
 */
final class ReplicatedState {
    private static final System.Logger LOG = System.getLogger(ReplicatedState.class.getName());

    /** First eight bytes of a command that starts or ends a rollout. */
    private static final long ROLLOUT_KIND = -1;

    /** First eight bytes of a snapshot that has rollouts. */
    private static final long IMAGE_KIND = -2;

    private final NewestConfiguration configuration = new NewestConfiguration();
    private final RolloutTable rollouts = new RolloutTable();
    private final Consumer<RolloutRecord> rolloutChanged;

    /**
     * Creates a state without a configuration and rollouts.
     *
     * @param rolloutChanged called with each rollout that started or ended
     */
    ReplicatedState(Consumer<RolloutRecord> rolloutChanged) {
        this.rolloutChanged = rolloutChanged;
    }

    /** Returns the bytes of a command that starts or ends a rollout. */
    static byte[] command(RolloutCommand command) {
        return tagged(ROLLOUT_KIND, RolloutCodec.encode(command));
    }

    /**
     * Applies a committed command, which must not be changed; one of an unknown kind changes
     * nothing.
     *
     * @param nowMillis monotonic time
     * @return whether the configuration changed
     */
    boolean apply(byte[] command, long nowMillis) {
        long kind = kind(command);
        if (kind >= 0) {
            return configuration.apply(command);
        }
        if (kind == ROLLOUT_KIND) {
            applyRollout(body(command), nowMillis);
        } else {
            LogEvent.warning(LOG, "command.unknown").with("kind", kind).write();
        }
        return false;
    }

    /**
     * Takes over a snapshot, which must not be changed; older state than that held changes nothing.
     *
     * @param nowMillis monotonic time
     * @throws IllegalArgumentException if a later build wrote it
     */
    void restore(byte[] image, long nowMillis) {
        long kind = kind(image);
        if (kind >= 0) {
            configuration.apply(image);
        } else if (kind == IMAGE_KIND) {
            RolloutCodec.Image read = RolloutCodec.decodeImage(body(image));
            configuration.apply(read.configuration());
            rollouts.restore(read.rollouts(), nowMillis).forEach(rolloutChanged);
        } else {
            throw new IllegalArgumentException("snapshot of an unknown kind " + kind);
        }
    }

    /** Returns what a snapshot holds; shares the bytes of the log if there are no rollouts. */
    byte[] image() {
        if (rollouts.rollouts().isEmpty()) {
            return configuration.image();
        }
        return tagged(
                IMAGE_KIND,
                RolloutCodec.encode(
                        new RolloutCodec.Image(configuration.image(), rollouts.rollouts())));
    }

    /** Returns the newest configuration. */
    NewestConfiguration configuration() {
        return configuration;
    }

    /** Returns the rollouts; changes only through commands. */
    RolloutTable rollouts() {
        return rollouts;
    }

    private void applyRollout(byte[] body, long nowMillis) {
        RolloutCommand command;
        try {
            command = RolloutCodec.decodeCommand(body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "command.unknown")
                    .with("kind", ROLLOUT_KIND)
                    .with("detail", e.getMessage())
                    .write();
            return;
        }
        rollouts.apply(command, nowMillis).ifPresent(rolloutChanged);
    }

    /** Returns the first eight bytes of a command, 0 for a shorter one, which has no effect. */
    private static long kind(byte[] command) {
        return command.length < Long.BYTES ? 0 : ByteBuffer.wrap(command).getLong();
    }

    private static byte[] body(byte[] command) {
        return Arrays.copyOfRange(command, Long.BYTES, command.length);
    }

    private static byte[] tagged(long kind, byte[] body) {
        return ByteBuffer.allocate(Long.BYTES + body.length).putLong(kind).put(body).array();
    }
}
