package io.siskintrail.edge;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;

/**
 * The terms on which a request is sent to an endpoint.
 *
 * @param remainingMillis how long an answer is of use
 * @param account the client account; null on an anonymous route
 * @param rank how urgent it is, 0 first
 * @param endpoint the endpoint that it is meant for; no other may run it
 * @param lastEventId the last event that the client has; -1 when it has none
 * @param copyAt {@code ip:port} of the endpoint that is to keep a copy of the memory; null for none
 * @param resumeFrom a copy of the memory of an earlier attempt to begin from; null for none
 * @param weightVersion the version that the answer was begun with; -1 when any will do
 */
public record ForwardTerms(
        long remainingMillis,
        AccountId account,
        int rank,
        EndpointId endpoint,
        long lastEventId,
        String copyAt,
        CopySource resumeFrom,
        long weightVersion) {}
