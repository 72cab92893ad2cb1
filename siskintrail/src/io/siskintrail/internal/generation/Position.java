package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;

/**
 * Says how much of an answer a caller has, and of which journal. Its text form is the id of a
 * server-sent event, so that a caller that reconnects never gets the rest of another journal.
 *
 * @param generation the generation
 * @param epoch the owner epoch whose journal the tokens came from
 * @param offset the number of tokens that the caller has
 */
public record Position(GenerationId generation, OwnerEpoch epoch, int offset) {
    private static final int PARTS = 5;
    private static final int RADIX = 36;

    /** Returns {@code offset/epoch/incarnation/generation/owner}. */
    public String toEventId() {
        return offset
                + "/"
                + epoch.number()
                + "/"
                + Long.toString(epoch.incarnation(), RADIX)
                + "/"
                + generation
                + "/"
                + epoch.owner();
    }

    /** Returns the position that {@code eventId} describes, or null when it is not one. */
    public static Position parse(String eventId) {
        String[] parts = eventId.split("/", PARTS);
        if (parts.length != PARTS) {
            return null;
        }
        try {
            int offset = Integer.parseInt(parts[0]);
            long number = Long.parseLong(parts[1]);
            long incarnation = Long.parseLong(parts[2], RADIX);
            OwnerEpoch epoch = new OwnerEpoch(number, new HostId(parts[4]), incarnation);
            return offset < 0 ? null : new Position(new GenerationId(parts[3]), epoch, offset);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
