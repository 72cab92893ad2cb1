package io.siskintrail.platform;

import java.util.SplittableRandom;

/**
 * How an endpoint answers one request.
 *
 * @param firstStatus status of the first answer, 0 if it is lost
 * @param secondStatus status of the second answer, 0 if there is none
 * @param lateMillis time from the first answer to a second one that is {@link Moment#LATE}
 * @param cut where the second answer ends
 * @param ids the IDs in the second answer
 * @param padding number of bytes that fill the body of each answer
 * @param firstInParts whether the first answer is written in parts with pauses
 * @param secondInParts the same for the second answer
 * @param interim whether an interim response precedes each answer
 * @param broken whether the connection ends in the middle of the first answer
 */
record SoakSecondAnswerPlan(
        int firstStatus,
        int secondStatus,
        Moment moment,
        int lateMillis,
        Cut cut,
        Ids ids,
        Delimiter firstDelimiter,
        Delimiter secondDelimiter,
        int padding,
        boolean firstInParts,
        boolean secondInParts,
        boolean interim,
        boolean broken) {
    private static final int[] FAILURES = {500, 500, 502, 504, 429, 503};
    private static final int[] SECONDS = {200, 200, 500, 503};
    private static final int MAX_LATE_MILLIS = 3_000;
    private static final int MAX_SHORT_LATE_MILLIS = 150;
    private static final int MAX_PADDING_BYTES = 40_000;

    /** When a second answer is written. */
    enum Moment {
        /** Behind the first one, in the same write. */
        AT_ONCE,
        /** Some time after the first one, whatever the connection then does. */
        LATE,
        /** When the next request has come, before its answer. */
        NEXT
    }

    /** Where a second answer ends. */
    enum Cut {
        NONE,
        IN_STATUS_LINE,
        AFTER_STATUS_LINE,
        IN_HEADER_NAME,
        IN_HEADER_VALUE,
        /** In the value of a header in front of the one with the ID. */
        BEFORE_ID,
        /** In the value of a header behind the one with the ID. */
        BEHIND_ID
    }

    /** The IDs in a second answer. */
    enum Ids {
        OWN,
        NONE,
        /** An ID of no request, and behind it that of the request. */
        OTHER_AND_OWN,
        /** The ID of the request, and behind it one of no request. */
        OWN_AND_OTHER
    }

    /** What ends the body of an answer. */
    enum Delimiter {
        LENGTH,
        CHUNKS,
        /** Nothing but the end of the connection. */
        NONE
    }

    /** Draws the answers to a call or a stream. */
    static SoakSecondAnswerPlan draw(SplittableRandom random) {
        boolean lost = random.nextInt(20) == 0;
        int first = random.nextInt(10) < 7 ? 200 : FAILURES[random.nextInt(FAILURES.length)];
        boolean broken = !lost && random.nextInt(25) == 0;
        Delimiter firstDelimiter = Delimiter.values()[Math.min(2, random.nextInt(12) / 5)];
        boolean twice =
                lost || !broken && firstDelimiter != Delimiter.NONE && random.nextInt(10) < 4;
        return new SoakSecondAnswerPlan(
                lost ? 0 : first,
                twice ? SECONDS[random.nextInt(SECONDS.length)] : 0,
                lost ? Moment.LATE : Moment.values()[random.nextInt(Moment.values().length)],
                random.nextInt(random.nextBoolean() ? MAX_LATE_MILLIS : MAX_SHORT_LATE_MILLIS),
                lost || random.nextBoolean()
                        ? Cut.NONE
                        : Cut.values()[random.nextInt(Cut.values().length)],
                lost || random.nextInt(3) > 0
                        ? Ids.OWN
                        : Ids.values()[random.nextInt(Ids.values().length)],
                broken && firstDelimiter == Delimiter.NONE ? Delimiter.LENGTH : firstDelimiter,
                Delimiter.values()[lost ? 0 : random.nextInt(Delimiter.values().length)],
                random.nextInt(5) == 0 ? random.nextInt(MAX_PADDING_BYTES) : 0,
                random.nextInt(4) == 0,
                random.nextInt(4) == 0,
                random.nextInt(8) == 0,
                broken);
    }

    boolean isFirstLost() {
        return firstStatus == 0;
    }

    boolean hasSecond() {
        return secondStatus > 0;
    }
}
