package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;

/**
 * Number of tokens that a caller has, and the journal that they came from. Its text form is the id
 * of a server-sent event, so that a caller that reconnects never receives the rest of another
 * journal.
 *
 * @param generation the generation
 * @param epoch the owner epoch whose journal the tokens came from
 * @param offset the number of tokens that the caller has received
 */
public record Position(GenerationId generation, OwnerEpoch epoch, int offset) {
    private static final int PART_COUNT = 5;
    private static final int INCARNATION_RADIX = 36;

    /** Returns the event id {@code offset/epoch/incarnation/generation/owner}. */
    public String toEventId() {
        return offset
                + "/"
                + epoch.number()
                + "/"
                + Long.toString(epoch.incarnation(), INCARNATION_RADIX)
                + "/"
                + generation
                + "/"
                + epoch.owner();
    }

    /** Parses an event id; returns null when it is malformed. */
    public static Position parse(String eventId) {
        String[] parts = eventId.split("/", PART_COUNT);
        if (parts.length != PART_COUNT) {
            return null;
        }
        try {
            int offset = Integer.parseInt(parts[0]);
            long number = Long.parseLong(parts[1]);
            long incarnation = Long.parseLong(parts[2], INCARNATION_RADIX);
            OwnerEpoch epoch = new OwnerEpoch(number, new HostId(parts[4]), incarnation);
            return offset < 0 ? null : new Position(new GenerationId(parts[3]), epoch, offset);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
