package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;

/** Effects of {@link ConfigurationFollower}. */
public sealed interface FollowerEffect {

    /**
     * Asks a control replica whether this host is current; also tells it what this host has.
     *
     * @param to the control replica
     * @param nonce marks the answer
     * @param version the applied version
     */
    record AskControl(HostId to, long nonce, long version) implements FollowerEffect {}

    /**
     * Asks another host what it has.
     *
     * @param to the other host
     * @param nonce marks the answer
     * @param version the applied version
     */
    record AskPeer(HostId to, long nonce, long version) implements FollowerEffect {}

    /**
     * Answers another host.
     *
     * @param to the other host
     * @param nonce the nonce of its question
     * @param counted whether this host has caught up since it started
     * @param version the applied version
     * @param configuration that version; null when the other host has it
     */
    record AnswerPeer(
            HostId to, long nonce, boolean counted, long version, Configuration configuration)
            implements FollowerEffect {}

    /**
     * Puts a configuration in force on this host; to be done before any later effect.
     *
     * @param configuration the configuration
     */
    record Apply(Configuration configuration) implements FollowerEffect {}

    /**
     * Allows new work until a time, and replaces any earlier permission.
     *
     * @param untilMillis the first moment of the monotonic clock without permission
     */
    record Permit(long untilMillis) implements FollowerEffect {}
}
