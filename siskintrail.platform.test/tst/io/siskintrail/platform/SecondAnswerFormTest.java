package io.siskintrail.platform;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Whole second answers in all forms, where another request with an ID of its own waits. */
@Timeout(60)
class SecondAnswerFormTest {
    private static final int LONG_BYTES = 40 << 10;

    @TempDir static Path folder;
    private static AnswerBench bench;

    /** When the second answer is written. */
    enum Moment {
        /** Behind the first answer, in the same write. */
        AT_ONCE,
        /** On the idle connection. */
        IDLE,
        /** When the next request has come. */
        NEXT,
        /** Half of it on the idle connection, half when the next request has come. */
        HALVES
    }

    /** What the second answer looks like. */
    enum Form {
        LENGTH("I", "L"),
        CHUNKED("I", "C"),
        LENGTH_AND_CHUNKED("I", "LC"),
        WITHOUT_LENGTH("I", "N"),
        LONG("I", "G"),
        CUT_IN_ITS_BODY("I", "T"),
        WITHOUT_ID("", "L"),
        WITHOUT_ID_AND_LENGTH("", "N"),
        OLD_AND_NEW_ID("IJ", "L"),
        NEW_AND_OLD_ID("JI", "L"),
        BEHIND_100("I", "L"),
        BEHIND_102("I", "L"),
        BEHIND_103("I", "L"),
        BEHIND_INTERIM_WITH_NEW_ID("I", "L"),
        OLD_VERSION("I", "L"),
        OLD_VERSION_WITHOUT_ID("", "N"),
        EMPTY_WITH_BODY("I", "L"),
        IN_PARTS("I", "L");

        private final String ids;
        private final String framing;

        Form(String ids, String framing) {
            this.ids = ids;
            this.framing = framing;
        }
    }

    @BeforeAll
    static void start() throws Exception {
        bench = new AnswerBench(folder);
    }

    @AfterAll
    static void stop() throws IOException {
        bench.close();
    }

    static Stream<Arguments> cases() {
        return Stream.of("/safe/", "/once/", "/gen/").flatMap(SecondAnswerFormTest::casesOf);
    }

    private static Stream<Arguments> casesOf(String path) {
        // A stream that fails is sent again, which takes a while.
        boolean isStream = path.equals("/gen/");
        return Stream.of(Moment.values())
                .filter(moment -> !isStream || moment == Moment.IDLE || moment == Moment.NEXT)
                .flatMap(
                        moment ->
                                Stream.of(
                                        Arguments.of(path, isStream ? 200 : 500, 200, 500, moment),
                                        Arguments.of(path, 200, 500, 200, moment)));
    }

    /** Guards against the second answer as the one to the next request. */
    @ParameterizedTest(name = "{0}: {1} and {2}, then {3}, {4}")
    @MethodSource("cases")
    void secondAnswerIsNotTheOneToTheNextRequest(
            String path, int firstStatus, int secondStatus, int nextStatus, Moment moment)
            throws IOException {
        for (Form form : Form.values()) {
            play(path, new int[] {firstStatus, secondStatus, nextStatus}, moment, form);
        }
        bench.assertNoneWrong();
    }

    static Stream<Arguments> failures() {
        return Stream.of(429, 502, 503, 504)
                .flatMap(
                        status ->
                                Stream.of("/safe/", "/once/")
                                        .flatMap(
                                                path ->
                                                        Stream.of(Moment.values())
                                                                .map(
                                                                        moment ->
                                                                                Arguments.of(
                                                                                        path,
                                                                                        status,
                                                                                        moment))));
    }

    /** Guards against the same behind other failures, whose connections are kept. */
    @ParameterizedTest(name = "{0}: {1}, {2}")
    @MethodSource("failures")
    void connectionIsSoundBehindAFailure(String path, int status, Moment moment)
            throws IOException {
        int[] statuses = {status, 200, status};
        play(path, statuses, moment, Form.LENGTH);
        play(path, statuses, moment, Form.CHUNKED);
        bench.assertNoneWrong();
    }

    private static void play(String path, int[] statuses, Moment moment, Form form)
            throws IOException {
        String first = bench.newId();
        String next = bench.newId();
        String late = write(form, first, next, statuses[1]);
        boolean halved = moment == Moment.HALVES;
        String idle = halved ? late.substring(0, late.length() / 2) : late;
        String rest = halved ? late.substring(late.length() / 2) : late;
        bench.begin(
                (request, before, out) -> {
                    boolean isFirst = first.equals(request.header("X-Request-Id"));
                    if (!isFirst) {
                        if (before != null && (halved || moment == Moment.NEXT)) {
                            writeLate(out, rest, form);
                        }
                        out.write(bench.answer(request, statuses[2]));
                        return true;
                    }
                    return answerFirst(request, out, statuses[0], idle, moment, form);
                });
        bench.send(path + first, first);
        Http.sleep(2 * AnswerBench.READ_MILLIS);
        bench.send(path + next, next);
        bench.nameWrong(form.toString());
    }

    private static boolean answerFirst(
            ReceivedRequest request,
            OutputStream out,
            int status,
            String idle,
            Moment moment,
            Form form)
            throws IOException {
        if (moment == Moment.AT_ONCE) {
            out.write(Http.concat(bench.answer(request, status), Http.toBytes(idle)));
            return true;
        }
        out.write(bench.answer(request, status));
        out.flush();
        if (moment == Moment.IDLE || moment == Moment.HALVES) {
            Http.sleep(AnswerBench.READ_MILLIS);
            writeLate(out, idle, form);
        }
        return true;
    }

    private static void writeLate(OutputStream out, String text, Form form) throws IOException {
        int parts = form == Form.IN_PARTS ? 5 : 1;
        for (int i = 0; i < parts; i++) {
            int from = text.length() * i / parts;
            int to = text.length() * (i + 1) / parts;
            out.write(Http.toBytes(text.substring(from, to)));
            out.flush();
            Http.sleep(parts == 1 ? 0 : 3);
        }
        Http.sleep(AnswerBench.READ_MILLIS);
    }

    /** Returns the second answer to the request {@code id}, behind which {@code next} waits. */
    private static String write(Form form, String id, String next, int status) {
        String body = AnswerBench.body("second", id, status);
        StringBuilder text = new StringBuilder();
        switch (form) {
            case BEHIND_100 -> text.append("HTTP/1.1 100 X\r\n\r\n");
            case BEHIND_102 -> text.append("HTTP/1.1 102 X\r\nX-Request-Id: " + id + "\r\n\r\n");
            case BEHIND_103 -> text.append("HTTP/1.1 103 X\r\nLink: </x>\r\n\r\n");
            case BEHIND_INTERIM_WITH_NEW_ID ->
                    text.append("HTTP/1.1 102 X\r\nX-Request-Id: " + next + "\r\n\r\n");
            default -> {}
        }
        boolean isOld = form == Form.OLD_VERSION || form == Form.OLD_VERSION_WITHOUT_ID;
        text.append(isOld ? "HTTP/1.0 " : "HTTP/1.1 ")
                .append(form == Form.EMPTY_WITH_BODY ? 204 : status)
                .append(" X\r\n")
                .append(isOld ? "Connection: keep-alive\r\n" : "");
        for (char letter : form.ids.toCharArray()) {
            text.append("X-Request-Id: ").append(letter == 'I' ? id : next).append("\r\n");
        }
        text.append("X-Replica-Signature: s\r\n");
        String chunks = "%x\r\n%s\r\n0\r\n\r\n".formatted(body.length(), body);
        String length = "Content-Length: ";
        return text
                + switch (form.framing) {
                    case "C" -> "Transfer-Encoding: chunked\r\n\r\n" + chunks;
                    case "LC" ->
                            length
                                    + body.length()
                                    + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + chunks;
                    case "N" -> "\r\n" + body;
                    case "G" -> length + LONG_BYTES + "\r\n\r\n" + "x".repeat(LONG_BYTES);
                    case "T" -> length + LONG_BYTES + "\r\n\r\n" + body;
                    default -> length + body.length() + "\r\n\r\n" + body;
                };
    }
}
