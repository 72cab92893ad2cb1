package io.siskintrail.control.internal.configuration;

import io.siskintrail.internal.control.RulesEdit;
import io.siskintrail.internal.rules.RuleError;
import io.siskintrail.lib.Failure;
import java.util.List;

/** What became of an edit of the rules. */
public sealed interface EditOutcome {

    /**
     * The edit is accepted: it is committed and in force on a majority of all hosts.
     *
     * @param number the number of the rules that it made
     */
    record Accepted(long number) implements EditOutcome {}

    /**
     * The file has errors.
     *
     * @param errors every error
     */
    record Invalid(List<RuleError> errors) implements EditOutcome {}

    /**
     * Another edit was made from the same number and won.
     *
     * @param winner that edit; null when it is older than the kept history
     * @param currentNumber the number of the rules now
     */
    record NumberTaken(RulesEdit winner, long currentNumber) implements EditOutcome {}

    /**
     * No rules have the number that the edit was made from.
     *
     * @param currentNumber the number of the rules now
     */
    record NumberUnknown(long currentNumber) implements EditOutcome {}

    /**
     * Nothing is certain yet; the same edit can be sent again to learn.
     *
     * @param failure why
     */
    record Pending(Failure failure) implements EditOutcome {}
}
