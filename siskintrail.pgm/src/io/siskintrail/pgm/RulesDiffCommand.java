package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;

/** Shows how a file differs from the rules in force. */
final class RulesDiffCommand extends Command {
    private Path file;

    /** Sets the file to compare. */
    RulesDiffCommand setFile(Path value) {
        file = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        JsonNode body = Json.object().put("text", RulesFiles.read(file));
        JsonNode difference = api().post("/admin/rules/diff", body);
        output().show(difference, () -> print(difference));
    }

    private void print(JsonNode difference) {
        JsonNode removed = difference.path("removed");
        JsonNode added = difference.path("added");
        boolean same = removed.isEmpty() && added.isEmpty();
        long number = difference.path("number").asLong();
        output().line(Messages.text(same ? "rules.same" : "rules.diff", number));
        removed.forEach(l -> output().line("- " + l.asText()));
        added.forEach(l -> output().line("+ " + l.asText()));
    }
}
