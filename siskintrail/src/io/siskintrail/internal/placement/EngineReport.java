package io.siskintrail.internal.placement;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.Optional;

/**
 * What an engine says of itself.
 *
 * @param id the engine
 * @param domain its failure domain
 * @param current what it is now; empty when it holds nothing
 * @param loading what it is about to become; empty when it loads nothing
 */
public record EngineReport(
        EndpointId id, FailureDomain domain, Optional<Target> current, Optional<Target> loading) {

    /** Returns what the engine is or will be when nobody gives another order. */
    Optional<Target> heading() {
        return loading.isPresent() ? loading : current;
    }
}
