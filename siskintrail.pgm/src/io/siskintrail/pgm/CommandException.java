package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.siskintrail.lib.ResultCode;

/** Ends a command with a numbered failure. */
final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient JsonNode body;
    private final int code;

    private CommandException(int code, String detail, JsonNode body) {
        super(detail);
        this.code = code;
        this.body = body;
    }

    /** Reports what the command itself found. */
    static CommandException of(ResultCode code, String detail) {
        ObjectNode body = Json.object();
        body.put("code", code.number()).put("name", code.name()).put("detail", detail);
        return new CommandException(code.number(), detail, body);
    }

    /** Passes on what a control host answered. */
    static CommandException of(JsonNode body) {
        return new CommandException(body.path("code").asInt(), body.path("detail").asText(), body);
    }

    int code() {
        return code;
    }

    String name() {
        return body.path("name").asText();
    }

    JsonNode body() {
        return body;
    }
}
