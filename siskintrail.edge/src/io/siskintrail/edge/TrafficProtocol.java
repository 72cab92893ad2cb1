package io.siskintrail.edge;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.lib.Result;
import java.util.Optional;

/** Encodes and decodes requests and responses in the format of one platform. Thread-safe. */
public interface TrafficProtocol {

    /**
     * Returns the call metadata from request headers, or the reason why the headers are invalid.
     */
    Result<CallMetadata> readMetadata(HttpHeaders headers);

    /**
     * Writes the headers of a forwarded request: the client headers, except those that only this
     * system may set, and the forwarding parameters.
     *
     * @param from the client headers without hop-by-hop headers
     * @param metadata the call metadata read from the client headers
     * @param parameters the parameters of this attempt
     * @param to receives the headers
     */
    void writeForwardedHeaders(
            HttpHeaders from, CallMetadata metadata, ForwardParameters parameters, HttpHeaders to);

    /** Returns the metadata from the head of a response. */
    EndpointResponse readResponse(HttpResponse response);

    /** Parses {@code content}; returns the configuration, or the reason why it is invalid. */
    Result<TrafficConfiguration> readConfiguration(byte[] content);

    /**
     * Returns the request that copies the KV cache of a running request, as it grows, to another
     * endpoint.
     *
     * @param address {@code ip:port} of the endpoint that executes the request
     * @param requestId the ID of the running request
     * @param to {@code ip:port} of the endpoint that stores the copy
     */
    KvCacheRequest buildCopyRequest(String address, String requestId, String to);

    /** Returns the copy name from the response to a copy request; empty if it has none. */
    Optional<String> readCopyName(byte[] body);

    /**
     * Returns the request that frees a copy; it goes to the endpoint at {@code address}, from which
     * the copy was made.
     */
    KvCacheRequest buildFreeRequest(String address, String name);
}
