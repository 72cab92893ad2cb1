package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Shows the rules and which routers have them. */
final class StatusCommand extends Command {
    private static final String UNKNOWN = "-";

    @Override
    void call() throws CommandException {
        JsonNode status = api().get("/admin/status");
        output().show(status, () -> print(status));
    }

    private void print(JsonNode status) {
        output().line(
                        Messages.text(
                                "status.summary",
                                status.path("rulesNumber").asLong(),
                                status.path("version").asLong(),
                                status.path("inForceVersion").asLong()));
        if (!status.path("leads").asBoolean()) {
            output().line(Messages.text("status.follower"));
        }
        Table table = new Table("HOST", "DOMAIN", "ADDRESS", "STATE", "VERSION");
        for (JsonNode host : status.path("hosts")) {
            table.row(
                    host.path("id").asText(),
                    host.path("domain").asText(),
                    host.path("peerAddress").asText(),
                    host.path("draining").asBoolean() ? "draining" : "in use",
                    host.path("version").isNumber() ? host.path("version").asLong() : UNKNOWN);
        }
        table.print(output());
    }
}
