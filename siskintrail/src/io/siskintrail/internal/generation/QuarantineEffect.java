package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import java.util.Set;

/** What the shell of the quarantine has to do. */
public sealed interface QuarantineEffect {

    /** Tell all routers what ran here on an endpoint that died. */
    record Report(EndpointId endpoint, Set<Fingerprint> running) implements QuarantineEffect {}

    /** Tell all routers that a fingerprint is under quarantine for {@code millis}. */
    record Announce(Fingerprint fingerprint, long millis) implements QuarantineEffect {}

    /** Refuse the fingerprint here from now on, or no longer. */
    record Quarantined(Fingerprint fingerprint, boolean on) implements QuarantineEffect {}
}
