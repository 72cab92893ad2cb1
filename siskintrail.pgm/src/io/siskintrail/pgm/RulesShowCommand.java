package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Shows the rules in force. */
final class RulesShowCommand extends Command {

    @Override
    void call() throws CommandException {
        JsonNode rules = api().get("/admin/rules");
        output().show(rules, () -> print(rules));
    }

    private void print(JsonNode rules) {
        long number = rules.path("number").asLong();
        if (number == 0) {
            output().line("# " + Messages.text("rules.none"));
            return;
        }
        String state = rules.path("inForce").asBoolean() ? "rules.inforce" : "rules.pending";
        output().line(
                        "# "
                                + Messages.text(
                                        "rules.shown",
                                        number,
                                        rules.path("operator").asText(),
                                        Output.time(rules.path("atMillis").asLong()),
                                        Messages.text(state)));
        output().line(rules.path("text").asText().stripTrailing());
    }
}
