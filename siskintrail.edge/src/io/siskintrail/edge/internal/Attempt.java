package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.EndpointView;

/** One transmission of a request to an endpoint. Confined to the event loop. */
final class Attempt {
    private final EndpointView endpoint;
    private final EndpointRequest request;
    private final String requestId;
    private final boolean idEchoed;
    private AttemptListener listener;
    private EndpointConnection connection;
    private boolean written;

    /** Creates an attempt of a client's request, whose response carries the request ID. */
    Attempt(
            EndpointView endpoint,
            EndpointRequest request,
            String requestId,
            AttemptListener listener) {
        this(endpoint, request, requestId, true, listener);
    }

    /**
     * Creates an attempt.
     *
     * @param idEchoed whether the request carries the request ID, so that its response does too
     */
    Attempt(
            EndpointView endpoint,
            EndpointRequest request,
            String requestId,
            boolean idEchoed,
            AttemptListener listener) {
        this.endpoint = endpoint;
        this.request = request;
        this.requestId = requestId;
        this.idEchoed = idEchoed;
        this.listener = listener;
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

    /** Returns the request ID that the response must carry. */
    String requestId() {
        return requestId;
    }

    boolean isIdEchoed() {
        return idEchoed;
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
