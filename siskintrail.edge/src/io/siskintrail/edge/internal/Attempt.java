package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.EndpointView;

/** One sending of a request to an endpoint. Used on the event loop. */
final class Attempt {
    private final EndpointView endpoint;
    private final EndpointRequest request;
    private final String requestId;
    private AttemptListener listener;
    private EndpointConnection connection;
    private boolean written;

    Attempt(
            EndpointView endpoint,
            EndpointRequest request,
            String requestId,
            AttemptListener listener) {
        this.endpoint = endpoint;
        this.request = request;
        this.requestId = requestId;
        this.listener = listener;
    }

    /**
     * Stops the attempt; its listener hears nothing more and the endpoint sees a closed connection.
     */
    void cancel() {
        listener = null;
        if (connection != null) {
            connection.close();
        }
    }

    EndpointView endpoint() {
        return endpoint;
    }

    EndpointRequest request() {
        return request;
    }

    /** Returns the id that the answer must bear. */
    String requestId() {
        return requestId;
    }

    /** Returns whether any byte may have reached the endpoint. */
    boolean isWritten() {
        return written;
    }

    boolean isOver() {
        return listener == null;
    }

    AttemptListener listener() {
        return listener;
    }

    void sentOn(EndpointConnection on) {
        connection = on;
        written = true;
    }

    /** Returns the listener for the last time. */
    AttemptListener end() {
        AttemptListener last = listener;
        listener = null;
        return last;
    }
}
