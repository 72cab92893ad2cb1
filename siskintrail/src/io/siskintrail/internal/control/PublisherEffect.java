package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;

/** Effects of {@link ConfigurationPublisher}. */
public sealed interface PublisherEffect {

    /**
     * Answers the question of a host.
     *
     * @param to the host
     * @param nonce the nonce of its question
     * @param version the newest committed version
     * @param configuration that version; null when the host has it
     */
    record Answer(HostId to, long nonce, long version, Configuration configuration)
            implements PublisherEffect {}

    /**
     * Sends a committed configuration unasked.
     *
     * @param to the host
     * @param configuration the configuration
     */
    record Push(HostId to, Configuration configuration) implements PublisherEffect {}

    /**
     * Proposes {@link ConfigurationCommand.MarkInForce} to the log.
     *
     * @param version the version that a majority of all hosts has
     */
    record ProposeMark(long version) implements PublisherEffect {}
}
