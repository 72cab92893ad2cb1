package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;

/**
 * Applies a rules file. An open outcome is asked for again a few times, since a repeat is never
 * applied twice.
 */
final class RulesApplyCommand extends Command {
    private static final int ATTEMPTS = 4;

    private Path file;
    private long from;

    /** Sets the new rules file. */
    RulesApplyCommand setFile(Path value) {
        file = value;
        return this;
    }

    /** Sets the number of the rules that the file was made from. */
    RulesApplyCommand setFrom(long value) {
        from = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        String text = RulesFiles.read(file);
        RulesCheckCommand.check(file, text);
        JsonNode edit = Json.object().put("from", from).put("text", text);
        JsonNode accepted = send(edit);
        output().show(
                        accepted,
                        () ->
                                output().line(
                                                Messages.text(
                                                        "rules.applied",
                                                        accepted.path("number").asLong())));
    }

    private JsonNode send(JsonNode edit) throws CommandException {
        CommandException last = null;
        for (int i = 0; i < ATTEMPTS; i++) {
            try {
                return api().post("/admin/rules", edit);
            } catch (CommandException e) {
                if (ExitStatus.of(e.code()) != ExitStatus.PENDING) {
                    throw e;
                }
                last = e;
            }
        }
        throw last;
    }
}
