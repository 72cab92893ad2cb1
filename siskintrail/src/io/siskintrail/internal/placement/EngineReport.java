package io.siskintrail.internal.placement;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.Optional;

/**
 * The state that an engine reports about itself.
 *
 * @param id the engine
 * @param domain the failure domain of the engine
 * @param current the assignment that the engine has loaded; empty when no model is loaded
 * @param loading the assignment that the engine is loading; empty when no load is running
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
