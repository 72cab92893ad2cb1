package io.siskintrail.internal.placement;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.Optional;

/**
 * The state that an engine reports about itself.
 *
 * @param id the engine
 * @param domain its failure domain
 * @param current the assignment that it holds now; empty when it holds no model
 * @param loading the assignment that it is loading; empty when it loads no model
 */
public record EngineReport(
        EndpointId id,
        FailureDomain domain,
        Optional<EngineAssignment> current,
        Optional<EngineAssignment> loading) {

    /** Returns the assignment that the engine will hold if it receives no further order. */
    Optional<EngineAssignment> expectedAssignment() {
        return loading.isPresent() ? loading : current;
    }
}
