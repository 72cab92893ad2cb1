package io.siskintrail.internal.rules;

import java.util.List;

/** The outcome of checking a rules file. */
public sealed interface RulesCheck {

    /**
     * The file has no errors.
     *
     * @param rules the rules of the file
     */
    record Accepted(Rules rules) implements RulesCheck {}

    /**
     * The file has errors; none of its rules may be used.
     *
     * @param errors the errors in order of line and column; never empty
     */
    record Refused(List<RuleError> errors) implements RulesCheck {}
}
