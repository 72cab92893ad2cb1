package io.siskintrail.platform;

import io.siskintrail.platform.SoakSecondAnswerPlan.Cut;
import io.siskintrail.platform.SoakSecondAnswerPlan.Delimiter;
import io.siskintrail.platform.SoakSecondAnswerPlan.Ids;

/** Formats the answers of an endpoint that answers twice. */
final class SoakAnswerBytes {
    private static final String INTERIM = "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n";

    private SoakAnswerBytes() {}

    /** Returns the signature of the first or second answer of a run. */
    static String signature(int run, int answer) {
        return run + "." + answer;
    }

    /** Returns the body of an answer to a call. */
    static String body(String requestId, String signature, int status, int padding) {
        return "run %s of %s status %d %s"
                .formatted(signature, requestId, status, ".".repeat(padding));
    }

    /** Returns an answer to a call. */
    static String call(
            String requestId, SoakSecondAnswers.Answer answer, Ids ids, Delimiter delimiter) {
        String body = answer.body();
        return switch (delimiter) {
            case LENGTH ->
                    head(requestId, answer, ids, "Content-Length: %d\r\n".formatted(body.length()))
                            + body;
            case CHUNKS ->
                    head(requestId, answer, ids, "Transfer-Encoding: chunked\r\n")
                            + chunk(body.substring(0, 7))
                            + chunk(body.substring(7))
                            + chunk("");
            default -> head(requestId, answer, ids, "") + body;
        };
    }

    /** Returns the head of a stream of events in chunks. */
    static String streamHead(String requestId, SoakSecondAnswers.Answer answer, Ids ids) {
        return head(
                requestId,
                answer,
                ids,
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    }

    /** Returns the chunk that holds an event, which names the answer. */
    static String event(String signature, int event) {
        return chunk("id: %d\ndata: %s:%d\n\n".formatted(event, signature, event));
    }

    static String chunk(String data) {
        return "%x\r\n%s\r\n".formatted(data.length(), data);
    }

    /** Returns an answer with an interim response before it. */
    static String behindInterim(String answer) {
        return INTERIM + answer;
    }

    /** Returns the part of an answer up to where it is cut. */
    static String cut(String answer, Cut cut) {
        return switch (cut) {
            case NONE -> answer;
            case IN_STATUS_LINE -> answer.substring(0, "HTTP/1.1 200 O".length());
            case AFTER_STATUS_LINE -> through(answer, "\r\n", 0);
            case IN_HEADER_NAME -> through(answer, "X-Ro", 0);
            case IN_HEADER_VALUE -> through(answer, "X-Route: ", 2);
            case BEFORE_ID -> through(answer, "X-Ahead: ", 1);
            default -> through(answer, "X-Behind: ", 2);
        };
    }

    private static String through(String answer, String text, int more) {
        return answer.substring(0, answer.indexOf(text) + text.length() + more);
    }

    private static String head(
            String requestId, SoakSecondAnswers.Answer answer, Ids ids, String delimiter) {
        String own = "X-Request-Id: %s\r\n".formatted(requestId);
        String other = "X-Request-Id: other-%s\r\n".formatted(answer.signature());
        String idLines =
                switch (ids) {
                    case OWN -> own;
                    case NONE -> "";
                    case OTHER_AND_OWN -> other + own;
                    default -> own + other;
                };
        boolean refused = answer.status() == 429 || answer.status() == 503;
        return "HTTP/1.1 %d OK\r\nX-Route: one\r\nX-Ahead: two\r\n".formatted(answer.status())
                + idLines
                + "X-Behind: three\r\nX-Replica-Signature: %s\r\n".formatted(answer.signature())
                + (refused ? "X-Not-Executed: 1\r\n" : "")
                + delimiter
                + "\r\n";
    }
}
