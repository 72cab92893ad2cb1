package io.siskintrail.edge.internal;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.CrashSuspect;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.lib.EndpointId;

/**
 * An attempt of a request at an endpoint, as evidence if the endpoint crashes. Confined to the
 * event loop.
 */
final class RunningAttempt {
    private final Attempt attempt;
    private final CrashSuspect request;
    private boolean answered;

    /** Wraps {@code attempt}, which transmits {@code call}. */
    RunningAttempt(Attempt attempt, CallContext call) {
        this.attempt = attempt;
        this.request = new CrashSuspect(call.fingerprint(), call.sharedParts());
    }

    EndpointView endpoint() {
        return attempt.endpoint();
    }

    EndpointId endpointId() {
        return attempt.endpoint().record().id();
    }

    Fingerprint content() {
        return request.content();
    }

    /** Records that the endpoint has begun to answer. */
    void markAnswered() {
        answered = true;
    }

    /** Returns fingerprint, number of shared prompt parts and progress for the log. */
    @Override
    public String toString() {
        String progress = answered ? "answered" : attempt.isWritten() ? "sent" : "unsent";
        return "%x/%d/%s".formatted(request.content().high(), request.parts().size(), progress);
    }
}
