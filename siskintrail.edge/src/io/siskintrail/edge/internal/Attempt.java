package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.endpoint.EndpointView;
import java.util.Arrays;

/** One transmission of a request to an endpoint. Confined to the event loop. */
final class Attempt {
    private final EndpointView endpoint;
    private final EndpointRequest request;
    private final String requestId;
    private final boolean order;
    private AttemptListener listener;
    private EndpointConnection connection;
    private boolean written;

    /** Creates an attempt of a client's request, whose response carries the request ID. */
    Attempt(
            EndpointView endpoint,
            EndpointRequest request,
            String requestId,
            AttemptListener listener) {
        this(endpoint, request, requestId, false, listener);
    }

    private Attempt(
            EndpointView endpoint,
            EndpointRequest request,
            String requestId,
            boolean order,
            AttemptListener listener) {
        this.endpoint = endpoint;
        this.request = request;
        this.requestId = requestId;
        this.order = order;
        this.listener = listener;
    }

    /**
     * Creates an attempt of an order that concerns the request {@code requestId} at an engine. Its
     * response carries no ID and reaches no client.
     */
    static Attempt ofOrder(
            EndpointView endpoint,
            EndpointRequest request,
            String requestId,
            AttemptListener listener) {
        return new Attempt(endpoint, request, requestId, true, listener);
    }

    /**
     * Cancels the attempt: its listener is not called again and the endpoint sees a closed
     * connection.
     */
    void cancel() {
        listener = null;
        if (connection != null) {
            connection.close();
        }
    }

    /** Reads from the endpoint, or leaves what it sends in its connection; may be repeated. */
    void setReading(boolean reading) {
        if (connection != null && listener != null) {
            connection.setReading(reading);
        }
    }

    EndpointView endpoint() {
        return endpoint;
    }

    EndpointRequest request() {
        return request;
    }

    /** Returns the ID of the request that is sent or that the order concerns. */
    String requestId() {
        return requestId;
    }

    /** Returns whether this is an order, not a request of a client. */
    boolean isOrder() {
        return order;
    }

    /** Returns whether this and {@code other} are orders to do the same. */
    boolean isSameOrder(Attempt other) {
        return order
                && other.order
                && request.method().equals(other.request.method())
                && request.target().equals(other.request.target())
                && Arrays.equals(request.body(), other.request.body());
    }

    /** Returns whether any byte may have reached the endpoint. */
    boolean isWritten() {
        return written;
    }

    boolean isFinished() {
        return listener == null;
    }

    /** Returns the connection that the request was written to, for the log; {@code -} if none. */
    String describeConnection() {
        return connection == null ? "-" : connection.describe();
    }

    AttemptListener listener() {
        return listener;
    }

    void markWritten(EndpointConnection usedConnection) {
        connection = usedConnection;
        written = true;
    }

    /** Ends the attempt; returns its listener, or null if the attempt had already ended. */
    AttemptListener finish() {
        AttemptListener finishedListener = listener;
        listener = null;
        return finishedListener;
    }
}
