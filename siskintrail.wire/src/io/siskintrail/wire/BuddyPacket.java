package io.siskintrail.wire;

import io.siskintrail.internal.generation.BuddyMessage;

/**
 * A message of a stripe with the process that sent it.
 *
 * @param incarnation the process
 * @param message the message
 */
public record BuddyPacket(long incarnation, BuddyMessage message) {}
