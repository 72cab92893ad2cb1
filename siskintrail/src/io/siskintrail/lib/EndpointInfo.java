package io.siskintrail.lib;

import java.util.List;

/**
 * Describes an endpoint as the endpoint announces itself.
 *
 * @param id the endpoint
 * @param address {@code host:port} of its HTTP interface
 * @param kind whether it is a model engine or a plain service
 * @param domain its failure domain
 * @param models the models that an engine has loaded; empty for a service
 * @param services the plain services that it provides; empty for an engine
 * @param slots how many requests it runs concurrently; at least 1
 * @param checksFencing whether it rejects an order that carries an outdated fencing token
 * @param incarnation increases with each restart of the endpoint
 * @param leaving whether the endpoint no longer accepts new work
 */
public record EndpointInfo(
        EndpointId id,
        String address,
        EndpointKind kind,
        FailureDomain domain,
        List<ModelId> models,
        List<ServiceName> services,
        int slots,
        boolean checksFencing,
        long incarnation,
        boolean leaving) {

    /** Copies the lists and validates the number of slots. */
    public EndpointInfo {
        models = List.copyOf(models);
        services = List.copyOf(services);
        if (slots < 1) {
            throw new IllegalArgumentException(
                    "endpoint %s has %d slots, at least 1 is required".formatted(id, slots));
        }
    }

    /** Returns a copy of this description that is marked as leaving. */
    public EndpointInfo asLeaving() {
        return new EndpointInfo(
                id,
                address,
                kind,
                domain,
                models,
                services,
                slots,
                checksFencing,
                incarnation,
                true);
    }
}
