package io.siskintrail.edge.internal;

import io.siskintrail.lib.Failure;
import java.util.Optional;

/** Step of the filter chain that a request passes before an endpoint is chosen for it. */
@FunctionalInterface
interface RequestFilter {

    /**
     * Validates {@code call} and adds what the filter learns; returns the failure if the request is
     * rejected.
     */
    Optional<Failure> filter(CallContext call);
}
