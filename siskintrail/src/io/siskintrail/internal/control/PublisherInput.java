package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;

/** Inputs of {@link ConfigurationPublisher}. */
public sealed interface PublisherInput {

    /** Time has passed. */
    record Tick() implements PublisherInput {}

    /**
     * This replica leads and has applied every entry that was committed before its term.
     *
     * @param leaseUntilMillis the first moment of the monotonic clock at which another replica may
     *     lead
     */
    record Leading(long leaseUntilMillis) implements PublisherInput {}

    /** This replica does not lead. */
    record NotLeading() implements PublisherInput {}

    /**
     * This replica applied a command of the log that changed the configuration.
     *
     * @param image the state after it
     */
    record Committed(ConfigurationImage image) implements PublisherInput {}

    /**
     * A host asks whether it is current and tells what it has.
     *
     * @param from the host
     * @param nonce marks the answer
     * @param version what the host has applied
     */
    record Question(HostId from, long nonce, long version) implements PublisherInput {}
}
