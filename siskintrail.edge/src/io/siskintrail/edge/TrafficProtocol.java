package io.siskintrail.edge;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.siskintrail.internal.traffic.TrafficConfiguration;
import io.siskintrail.lib.Result;
import java.util.Optional;

/** Reads and writes requests and answers in the form of one platform. Thread-safe. */
public interface TrafficProtocol {

    /** Returns what the headers of a request say, or why they cannot be used. */
    Result<CallHead> read(HttpHeaders headers);

    /**
     * Writes the headers for an endpoint: those of the client without what only this system may
     * set, and the terms.
     *
     * @param from the headers of the client without those of its connection
     * @param head what they say
     * @param terms the terms of this attempt
     * @param to receives the headers
     */
    void writeForward(HttpHeaders from, CallHead head, ForwardTerms terms, HttpHeaders to);

    /** Returns what the head of an answer says. */
    EndpointAnswer readAnswer(HttpResponse response);

    /** Returns the configuration in {@code content}, or why it cannot be used. */
    Result<TrafficConfiguration> readConfiguration(byte[] content);

    /**
     * Returns the order to copy the memory of a running request, as it grows, to another endpoint.
     *
     * @param address {@code ip:port} of the endpoint that runs it
     * @param requestId the request
     * @param to {@code ip:port} of the endpoint that is to keep the copy
     */
    EngineOrder copyRun(String address, String requestId, String to);

    /** Returns the name of a copy from the answer to such an order, empty when it has none. */
    Optional<String> readCopyName(byte[] body);

    /** Returns the order to free a copy, for the endpoint at {@code address} that it came from. */
    EngineOrder freeCopy(String address, String name);
}
