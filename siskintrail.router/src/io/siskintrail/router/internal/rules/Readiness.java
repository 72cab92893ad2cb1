package io.siskintrail.router.internal.rules;

import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.util.Optional;

/** Tells the balancer and operators whether this router takes new work. Safe for many threads. */
public final class Readiness {
    private final RulesView rules;
    private volatile boolean stopping;

    /** Takes the rules, without which no new work is taken. */
    public Readiness(RulesView rules) {
        this.rules = rules;
    }

    /** Says from now on that the host is stopping. */
    public void stop() {
        stopping = true;
    }

    /** Returns why this router takes no new work, empty when it does. */
    public Optional<Failure> refusal() {
        if (stopping) {
            return refuse(ResultCode.NOT_RUN_SHUTTING_DOWN, "this host is stopping");
        }
        if (!rules.mayTakeWork()) {
            return refuse(
                    ResultCode.NOT_RUN_RULES_STALE,
                    "this router cannot confirm that its rules are current");
        }
        return Optional.empty();
    }

    private static Optional<Failure> refuse(ResultCode code, String detail) {
        return Optional.of(new Failure(code, detail));
    }
}
