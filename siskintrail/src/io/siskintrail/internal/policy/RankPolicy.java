package io.siskintrail.internal.policy;

/**
 * How work of one rank is served.
 *
 * @param floor share of a pool's slots that the rank keeps while it has work, 0 to 1
 * @param maxQueueMillis the longest wait for a start, whatever the caller would accept
 */
public record RankPolicy(double floor, long maxQueueMillis) {}
