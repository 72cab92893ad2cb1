package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.EndpointId;
import java.util.Collection;
import java.util.stream.Collectors;

/**
 * An attempt of a request at an endpoint, as evidence if the endpoint crashes. Confined to the
 * event loop.
 */
final class RunningAttempt {
    private static final int MAX_LOGGED_ATTEMPTS = 16;

    private final Attempt attempt;
    private final CrashSuspect request;
    private boolean answered;

    /** Wraps {@code attempt}, which transmits {@code call}. */
    RunningAttempt(Attempt attempt, CallContext call) {
        this.attempt = attempt;
        this.request = call.suspect();
    }

    EndpointView endpoint() {
        return attempt.endpoint();
    }

    EndpointId endpointId() {
        return attempt.endpoint().record().id();
    }

    /** Returns the content and the shared prompt parts of the request. */
    CrashSuspect request() {
        return request;
    }

    /** Records that the endpoint has begun to answer, or has refused the request. */
    void markAnswered() {
        answered = true;
    }

    /** Returns whether the endpoint may have received the request. */
    boolean isSent() {
        return attempt.isWritten();
    }

    /** Returns whether the endpoint may have received the request and has not begun to answer. */
    boolean isSuspect() {
        return attempt.isWritten() && !answered;
    }

    /** Returns the first few attempts for the log, separated by commas. */
    static String describe(Collection<RunningAttempt> attempts) {
        return attempts.stream()
                .limit(MAX_LOGGED_ATTEMPTS)
                .map(RunningAttempt::toString)
                .collect(Collectors.joining(","));
    }

    /** Returns fingerprint, number of shared prompt parts and progress for the log. */
    @Override
    public String toString() {
        String progress = answered ? "answered" : attempt.isWritten() ? "sent" : "unsent";
        return "%x/%d/%s".formatted(request.content().high(), request.parts().size(), progress);
    }
}
