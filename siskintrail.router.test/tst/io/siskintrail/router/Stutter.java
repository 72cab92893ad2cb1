package io.siskintrail.router;

import java.util.List;
import java.util.stream.Stream;

/**
 * How an endpoint answers two requests, the first of them twice.
 *
 * @param first status of the first answer to the first request
 * @param late status of the second answer to the first request
 * @param moment when the second answer comes
 * @param form how much of the second answer comes
 * @param next status of the answer to the second request
 */
public record Stutter(int first, int late, Moment moment, Form form, int next) {
    private static final List<Integer> FIRST = List.of(200, 500, 503);
    private static final List<Integer> LATE = List.of(200, 500);
    private static final List<Integer> NEXT = List.of(200, 503);

    /** When a second answer comes. */
    public enum Moment {
        /** In one write with the first. */
        AT_ONCE,
        /** While the connection is idle. */
        IDLE,
        /** Where the answer to the next request is due. */
        NEXT
    }

    /** How much of a second answer comes. */
    public enum Form {
        /** All of it. */
        WHOLE,
        /** Its beginning up to the reason of its status, which the next bytes go on with. */
        CUT_IN_STATUS,
        /** Its beginning up to the value of its first header, which the next bytes go on with. */
        CUT_IN_HEADER
    }

    /** Returns every combination. */
    public static Stream<Stutter> all() {
        return Stream.of(Moment.values())
                .flatMap(m -> Stream.of(Form.values()).flatMap(f -> statuses(m, f)));
    }

    private static Stream<Stutter> statuses(Moment moment, Form form) {
        return FIRST.stream()
                .flatMap(
                        first ->
                                LATE.stream()
                                        .flatMap(
                                                late ->
                                                        NEXT.stream()
                                                                .map(
                                                                        next ->
                                                                                new Stutter(
                                                                                        first, late,
                                                                                        moment,
                                                                                        form,
                                                                                        next))));
    }
}
