package io.siskintrail.internal.rules;

import java.util.List;

/** The outcome of checking a whole rules file. */
public sealed interface RulesCheck {

    /**
     * The file is correct.
     *
     * @param rules its rules
     */
    record Accepted(Rules rules) implements RulesCheck {}

    /**
     * The file has errors and none of it may be used.
     *
     * @param errors every error, by line and column; never empty
     */
    record Refused(List<RuleError> errors) implements RulesCheck {}
}
