package io.siskintrail.lib;

import java.util.List;

/**
 * What an endpoint says of itself when it announces.
 *
 * @param id the endpoint
 * @param address {@code host:port} of its HTTP interface
 * @param kind what it runs
 * @param domain its failure domain
 * @param models what an engine has loaded; empty for a service
 * @param services the names that a plain service answers to; empty for an engine
 * @param slots how many requests it runs at once; at least 1
 * @param checksFencing whether it refuses an order that carries an old fencing number
 * @param incarnation grows with each restart of the endpoint
 * @param leaving whether the endpoint takes no new work any more
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

    /** Copies the lists. */
    public EndpointInfo {
        models = List.copyOf(models);
        services = List.copyOf(services);
        if (slots < 1) {
            throw new IllegalArgumentException("endpoint %s has %d slots".formatted(id, slots));
        }
    }

    /** Returns the same endpoint, marked as leaving. */
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
