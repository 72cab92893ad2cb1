package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.Set;

/** Event that the quarantine of a router handles. */
public sealed interface QuarantineInput {

    /** An endpoint died while it ran the requests {@code running} of this router. */
    record Died(EndpointId endpoint, Set<Fingerprint> running) implements QuarantineInput {}

    /** Another router reported its own requests that ran on an endpoint that died. */
    record Reported(HostId from, EndpointId endpoint, Set<Fingerprint> running)
            implements QuarantineInput {}

    /** Another router quarantined a fingerprint for {@code millis} milliseconds. */
    record Announced(Fingerprint fingerprint, long millis) implements QuarantineInput {}

    /** A request with this content got a complete answer, so it does not crash endpoints. */
    record Succeeded(Fingerprint fingerprint) implements QuarantineInput {}

    /** Lets quarantines and evidence expire and evaluates new deaths. */
    record Tick() implements QuarantineInput {}
}
