package io.siskintrail.edge;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;

/**
 * Parameters for forwarding a request to an endpoint.
 *
 * @param remainingMillis time until the client no longer needs a response, in milliseconds
 * @param account the client account; null on an anonymous route
 * @param rank the priority; 0 is the most urgent
 * @param endpoint the only endpoint that may execute the request
 * @param lastEventId the ID of the last event that the client received; -1 if none
 * @param copyAt {@code ip:port} of the endpoint that stores a copy of the KV cache; null for none
 * @param resumeFrom the KV cache copy of an earlier attempt to resume from; null for none
 * @param weightVersion the version of the model weights that the response began with; -1 for any
 */
public record ForwardParameters(
        long remainingMillis,
        AccountId account,
        int rank,
        EndpointId endpoint,
        long lastEventId,
        String copyAt,
        CopySource resumeFrom,
        long weightVersion) {}
