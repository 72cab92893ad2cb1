package io.siskintrail.registry.internal;

import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.HttpService.Answer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Builds answers to the calls of operators and endpoints. */
final class Answers {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;

    private static final String JSON = "application/json";

    private Answers() {}

    /** Returns a success with a JSON body. */
    static Answer json(byte[] body) {
        return new Answer(OK, JSON, body);
    }

    /** Returns an answer with an empty JSON object. */
    static Answer empty(int status) {
        return new Answer(status, JSON, "{}".getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a failure with the status and the meaning of {@code code}. */
    static Answer failure(ResultCode code) {
        return failure(code.httpStatus(), code.meaning());
    }

    /** Returns a failure whose body has {@code detail}. */
    static Answer failure(int status, String detail) {
        return new Answer(status, JSON, object(Map.of("detail", detail)));
    }

    /** Returns a success with a JSON object of texts, ordered by name. */
    static Answer json(Map<String, String> fields) {
        return json(object(fields));
    }

    private static byte[] object(Map<String, String> fields) {
        return new TreeMap<>(fields)
                .entrySet().stream()
                        .map(
                                f ->
                                        "\"%s\":\"%s\""
                                                .formatted(
                                                        escape(f.getKey()), escape(f.getValue())))
                        .collect(Collectors.joining(",", "{", "}"))
                        .getBytes(StandardCharsets.UTF_8);
    }

    private static String escape(String text) {
        String quoted = text.replace("\\", "\\\\").replace("\"", "\\\"");
        return quoted.replaceAll("\\p{Cntrl}", " ");
    }
}
