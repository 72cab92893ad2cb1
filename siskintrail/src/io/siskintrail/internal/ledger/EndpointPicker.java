package io.siskintrail.internal.ledger;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ServiceName;
import java.util.Set;

/** Chooses where an order goes. */
@FunctionalInterface
public interface EndpointPicker {

    /**
     * Returns an endpoint of {@code service} that takes new work, or null when there is none.
     *
     * @param service the service
     * @param tried endpoints that could not be connected to for this order
     */
    EndpointId pick(ServiceName service, Set<EndpointId> tried);
}
