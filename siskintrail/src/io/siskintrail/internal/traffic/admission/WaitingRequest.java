package io.siskintrail.internal.traffic.admission;

import io.siskintrail.lib.ServiceName;

/**
 * A request that waits at a host for capacity of a service, as the host reports it to the others.
 *
 * @param service the service that it waits for
 * @param rank the priority; 0 is the most urgent
 * @param account a hash of the client account, 0 for an anonymous route
 * @param waitedMillis how long it had waited at the time of the report, in milliseconds
 * @param remainingMillis how long it could still wait at the time of the report, in milliseconds;
 *     other hosts ignore it afterwards, also when no further report arrives
 * @param tokens the KV cache memory that it needs, in tokens
 * @param resumption whether it continues a stream that lost its engine
 */
public record WaitingRequest(
        ServiceName service,
        int rank,
        int account,
        long waitedMillis,
        long remainingMillis,
        long tokens,
        boolean resumption) {}
