package io.siskintrail.wire.registry;

import io.siskintrail.internal.traffic.EndpointRecord;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.List;

/** A message among registries, or between a registry and an edge. */
public sealed interface RegistryMessage {

    /** Tells what endpoints said of themselves; among registries also when nothing changed. */
    record Endpoints(List<EndpointRecord> records) implements RegistryMessage {}

    /**
     * Tells what a registry knows.
     *
     * @param version the newest configuration that it holds; 0 for none
     * @param current whether it was lately confirmed that there is no newer one
     * @param registries the hosts that run registries
     * @param edges how many edges follow it
     */
    record Status(long version, boolean current, List<HostId> registries, int edges)
            implements RegistryMessage {}

    /** Asks for the newest configuration if its version is above {@code version}. */
    record FetchAbove(long version) implements RegistryMessage {}

    /** Carries a configuration in the form in which operators sent it. */
    record Content(long version, byte[] content) implements RegistryMessage {}

    /** Asks the leader to commit a command. */
    record Propose(long token, byte[] command) implements RegistryMessage {}

    /** Tells at which index the command {@code token} was committed; -1 when it was not taken. */
    record Proposed(long token, long index) implements RegistryMessage {}

    /** Asks the leader from which index on a read is linearizable. */
    record Read(long token) implements RegistryMessage {}

    /** Answers {@link Read}; the index is -1 when the receiver cannot tell. */
    record ReadAt(long token, long index) implements RegistryMessage {}

    /** Tells of endpoints that ended while they ran a request. */
    record Crashes(List<Crash> crashes) implements RegistryMessage {}

    /**
     * The end of an endpoint during a request.
     *
     * @param fingerprint a hash of the content of the request
     * @param endpoint the endpoint that ended
     * @param incarnation which start of it
     */
    record Crash(long fingerprint, EndpointId endpoint, long incarnation) {}
}
