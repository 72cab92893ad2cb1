package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Prints either JSON for programs or text for people. */
final class Output {
    private final PrintWriter out;
    private final PrintWriter err;
    private final boolean json;

    /** Takes where to print; the caller owns the writers. */
    Output(PrintWriter out, PrintWriter err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    /** Prints the JSON, or runs {@code text} when a person reads. */
    void show(JsonNode node, Runnable text) {
        if (json) {
            out.println(Json.format(node));
        } else {
            text.run();
        }
        out.flush();
    }

    void line(String text) {
        out.println(text);
    }

    /** Prints a failure: as JSON to the output, as text to the error output. */
    void failure(CommandException e) {
        if (json) {
            out.println(Json.format(e.body()));
            out.flush();
            return;
        }
        for (JsonNode place : e.body().path("errors")) {
            err.println(
                    Messages.text(
                            "error.place",
                            place.path("file").asText("-"),
                            place.path("line").asInt(),
                            place.path("column").asInt(),
                            place.path("code").asInt(),
                            place.path("name").asText(),
                            place.path("detail").asText()));
        }
        JsonNode winner = e.body().path("winner");
        if (winner.isObject()) {
            err.println(
                    Messages.text(
                            "rules.winner",
                            winner.path("number").asLong(),
                            winner.path("operator").asText(),
                            time(winner.path("atMillis").asLong())));
            winner.path("removed").forEach(l -> err.println("- " + l.asText()));
            winner.path("added").forEach(l -> err.println("+ " + l.asText()));
        }
        err.println(Messages.text("error", e.code(), e.name(), e.getMessage()));
        Messages.hint(e.code()).ifPresent(err::println);
        err.flush();
    }

    static String time(long millis) {
        return Instant.ofEpochMilli(millis).truncatedTo(ChronoUnit.SECONDS).toString();
    }
}
