package io.siskintrail.registry;

import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ServiceName;

/** What an operator or an endpoint asks of a registry. */
public sealed interface RegistryCall {

    /**
     * Sends a configuration.
     *
     * @param configuration what was read from the content, or why it is refused
     * @param content the configuration as sent
     */
    record PutConfiguration(Result<TrafficConfiguration> configuration, byte[] content)
            implements RegistryCall {}

    /** Asks for the newest configuration. */
    record ReadConfiguration() implements RegistryCall {}

    /** Reports the state of an endpoint; a report that cannot be read names no endpoint to use. */
    record Report(Result<EndpointRecord> endpoint) implements RegistryCall {}

    /** Tells that an endpoint leaves. */
    record Leave(EndpointId endpoint) implements RegistryCall {}

    /** Orders a rollout; an order that cannot be read says why it is refused. */
    record StartRollout(Result<RolloutOrder> order) implements RegistryCall {}

    /** Asks for the newest rollout of a service. */
    record ReadRollout(ServiceName service) implements RegistryCall {}

    /** Anything else. */
    record Unknown() implements RegistryCall {}
}
