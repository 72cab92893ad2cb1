package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.Set;

/** What the quarantine of a router learns. */
public sealed interface QuarantineInput {

    /** An endpoint of this router died while {@code running} ran on it here. */
    record Died(EndpointId endpoint, Set<Fingerprint> running) implements QuarantineInput {}

    /** Another router reports the same for its own streams. */
    record Reported(HostId from, EndpointId endpoint, Set<Fingerprint> running)
            implements QuarantineInput {}

    /** Another router put a fingerprint under quarantine. */
    record Announced(Fingerprint fingerprint, long millis) implements QuarantineInput {}

    /** A request with this content got a whole answer: it crashes nothing. */
    record Succeeded(Fingerprint fingerprint) implements QuarantineInput {}

    /** Time passed. */
    record Tick() implements QuarantineInput {}
}
