package io.siskintrail.router.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.siskintrail.lib.Failure;

/** Renders failures in the error form of the OpenAI API, with our number as the code. */
public final class ErrorBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FIRST_SERVER_ERROR = 500;

    private ErrorBody() {}

    /** Returns the response that tells {@code failure}. */
    public static HttpResponse<String> response(Failure failure) {
        return HttpResponse.<String>status(HttpStatus.valueOf(failure.code().httpStatus()))
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(json(failure));
    }

    /** Returns the JSON that tells {@code failure}. */
    public static String json(Failure failure) {
        boolean server = failure.code().httpStatus() >= FIRST_SERVER_ERROR;
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("message", failure.detail());
        error.put("type", server ? "server_error" : "invalid_request_error");
        error.putNull("param");
        error.put("code", failure.code().name().toLowerCase(java.util.Locale.ROOT));
        error.put("number", failure.code().number());
        return root.toString();
    }
}
