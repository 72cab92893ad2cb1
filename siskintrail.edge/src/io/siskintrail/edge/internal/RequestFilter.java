package io.siskintrail.edge.internal;

import io.siskintrail.lib.Failure;
import java.util.Optional;

/** One step of the chain that a request passes before it is placed. */
@FunctionalInterface
interface RequestFilter {

    /** Checks and completes {@code call}; returns why it is turned away, if it is. */
    Optional<Failure> apply(CallContext call);
}
