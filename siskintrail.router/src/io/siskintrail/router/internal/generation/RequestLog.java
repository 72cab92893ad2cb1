package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.internal.generation.GenerationSpec;
import io.siskintrail.internal.generation.RequestRef;
import io.siskintrail.service.LogEvent;
import java.util.HashMap;
import java.util.Map;

/**
 * Logs the steps of requests, so that one can be followed by its id through the logs of all
 * routers. The id of an answer is {@code cmpl-} and the value of {@code request}. Used on the
 * thread of one stripe.
 */
final class RequestLog {
    private static final System.Logger LOG = System.getLogger(RequestLog.class.getName());

    private final Map<Long, RequestRef> callers = new HashMap<>();

    /** Logs that a caller asks for an answer; another router may run it. */
    void attached(GenerationInput.Attach e) {
        GenerationSpec spec = e.spec();
        callers.put(e.caller(), spec.ref());
        LogEvent.info(LOG, "request.attached")
                .with("request", spec.ref().key())
                .with("account", spec.ref().account())
                .with("model", spec.model())
                .with("rank", spec.rank())
                .with("has", e.after() == null ? 0 : e.after().offset())
                .write();
    }

    /** Logs that this router starts an attempt at an endpoint. */
    void started(GenerationEffect.StartAttempt e) {
        LogEvent.info(LOG, "attempt.started")
                .with("request", e.spec().ref().key())
                .with("generation", e.spec().id())
                .with("epoch", e.epoch().number())
                .with("attempt", e.attempt())
                .with("endpoint", e.endpoint())
                .with("prefix", e.prefix().size())
                .write();
    }

    /** Logs why an attempt is over. */
    void ended(GenerationEffect.EndAttempt e) {
        LogEvent.info(LOG, "attempt.ended")
                .with("generation", e.generation())
                .with("epoch", e.epoch().number())
                .with("attempt", e.attempt())
                .with("endpoint", e.endpoint())
                .with("cause", e.cause())
                .write();
    }

    /** Logs what a caller is told at the end. */
    void finished(GenerationEffect.Finish e) {
        RequestRef ref = callers.remove(e.caller());
        LogEvent.info(LOG, "request.finished")
                .with("request", ref == null ? null : ref.key())
                .with("code", e.outcome().code().number())
                .with("tokens", e.tokens())
                .write();
    }

    /** Logs that a caller's connection is gone before the end. */
    void detached(long caller) {
        RequestRef ref = callers.remove(caller);
        if (ref != null) {
            LogEvent.info(LOG, "request.detached").with("request", ref.key()).write();
        }
    }
}
