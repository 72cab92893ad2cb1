package io.siskintrail.internal.rollout;

/**
 * What the leader should make durable.
 *
 * @param state the new state of the rollout; {@link RolloutState#RUNNING} means no change
 * @param evidence the reason as key=value pairs; empty while the rollout runs
 */
public record RolloutDecision(RolloutState state, String evidence) {}
