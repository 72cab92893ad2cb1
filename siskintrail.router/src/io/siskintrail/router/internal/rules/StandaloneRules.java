package io.siskintrail.router.internal.rules;

import io.siskintrail.internal.rules.Rules;

/** The default rules of a router whose settings name no control host, for trying out. */
public final class StandaloneRules implements RulesView {

    @Override
    public Rules rules() {
        return Rules.EMPTY;
    }

    @Override
    public boolean mayTakeWork() {
        return true;
    }
}
