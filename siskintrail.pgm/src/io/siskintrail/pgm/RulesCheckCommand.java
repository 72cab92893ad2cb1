package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.siskintrail.internal.rules.RuleError;
import io.siskintrail.internal.rules.RulesCheck;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.lib.ResultCode;
import java.nio.file.Path;

/** Checks a rules file without a control host and prints every error. */
final class RulesCheckCommand extends Command {
    private Path file;

    /** Sets the file to check. */
    RulesCheckCommand setFile(Path value) {
        file = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        int rules = check(file, RulesFiles.read(file));
        ObjectNode node = Json.object().put("rules", rules);
        output().show(node, () -> output().line(Messages.text("rules.checked", file, rules)));
    }

    /** Returns how many rules {@code text} has, or throws with every error. */
    static int check(Path file, String text) throws CommandException {
        RulesCheck check = RulesParser.parse(text);
        if (check instanceof RulesCheck.Accepted accepted) {
            return accepted.rules().allRules().size();
        }
        ObjectNode body = Json.object();
        body.put("code", ResultCode.RULES_REFUSED.number());
        body.put("name", ResultCode.RULES_REFUSED.name());
        ArrayNode places = body.putArray("errors");
        for (RuleError e : ((RulesCheck.Refused) check).errors()) {
            places.addObject()
                    .put("file", file.toString())
                    .put("line", e.line())
                    .put("column", e.column())
                    .put("code", e.code().number())
                    .put("name", e.code().name())
                    .put("detail", e.detail());
        }
        body.put("detail", "%s has %d errors".formatted(file, places.size()));
        throw CommandException.of(body);
    }
}
