package io.siskintrail.router.internal.rules;

import io.siskintrail.internal.rules.Rules;

/** What the filters of a router see of the rules. May be called from any thread. */
public interface RulesView {

    /** Returns the rules in force on this router; the defaults before the first were received. */
    Rules rules();

    /**
     * Returns whether the rules are certainly current, so that new work may be taken. Work in
     * flight goes on without asking.
     */
    boolean mayTakeWork();

    /** Returns the number of the rules in force on this router; 0 when none were received. */
    default long number() {
        return 0;
    }
}
