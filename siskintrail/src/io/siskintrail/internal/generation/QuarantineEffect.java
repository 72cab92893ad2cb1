package io.siskintrail.internal.generation;

import io.siskintrail.lib.EndpointId;
import java.util.Set;

/** Action that the quarantine asks its runtime to carry out. */
public sealed interface QuarantineEffect {

    /** Reports to all routers which requests of this router ran on an endpoint that died. */
    record Report(EndpointId endpoint, Set<Fingerprint> running) implements QuarantineEffect {}

    /** Tells all routers to quarantine a fingerprint for {@code millis} milliseconds. */
    record Announce(Fingerprint fingerprint, long millis) implements QuarantineEffect {}

    /** Starts ({@code on}) or stops refusing the fingerprint at this router. */
    record Quarantined(Fingerprint fingerprint, boolean on) implements QuarantineEffect {}
}
