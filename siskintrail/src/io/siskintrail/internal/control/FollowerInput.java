package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;

/** Inputs of {@link ConfigurationFollower}. */
public sealed interface FollowerInput {

    /** Time has passed; to be given several times in each asking interval. */
    record Tick() implements FollowerInput {}

    /**
     * The leader answered a question.
     *
     * @param from the control replica
     * @param nonce the nonce of the question
     * @param version the newest committed version
     * @param configuration that version; null when the question had it already
     */
    record LeaderAnswer(HostId from, long nonce, long version, Configuration configuration)
            implements FollowerInput {}

    /**
     * The leader sent a committed configuration unasked.
     *
     * @param from the control replica
     * @param configuration the configuration
     */
    record Pushed(HostId from, Configuration configuration) implements FollowerInput {}

    /**
     * Another host asks what this one has.
     *
     * @param from the other host
     * @param nonce its nonce
     * @param version what it has itself
     */
    record PeerQuestion(HostId from, long nonce, long version) implements FollowerInput {}

    /**
     * Another host answered a question.
     *
     * @param from the other host
     * @param nonce the nonce of the question
     * @param counted whether that host has caught up since it started
     * @param version what it has
     * @param configuration that version; null when the question had it already
     */
    record PeerAnswer(
            HostId from, long nonce, boolean counted, long version, Configuration configuration)
            implements FollowerInput {}
}
