package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Shows who changed the rules, when and how. */
final class RulesHistoryCommand extends Command {
    private int limit;

    /** Sets how many edits to show, the newest ones. */
    RulesHistoryCommand setLimit(int value) {
        limit = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        JsonNode edits = api().get("/admin/rules/history?limit=" + limit);
        output().show(edits, () -> edits.forEach(this::print));
    }

    private void print(JsonNode edit) {
        output().line(
                        "%d  %s  %s"
                                .formatted(
                                        edit.path("number").asLong(),
                                        Output.time(edit.path("atMillis").asLong()),
                                        edit.path("operator").asText()));
        edit.path("removed").forEach(l -> output().line("    - " + l.asText()));
        edit.path("added").forEach(l -> output().line("    + " + l.asText()));
        if (edit.path("truncated").asBoolean()) {
            output().line("    ...");
        }
    }
}
