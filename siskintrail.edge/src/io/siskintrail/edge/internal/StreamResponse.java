package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.siskintrail.internal.traffic.stream.StreamEvent;
import io.siskintrail.net.EventLoop;
import java.io.ByteArrayOutputStream;

/**
 * Response of a stream to its client, to which several attempts may contribute. Sends the events of
 * one read together, since each chunk costs a call of the system. Confined to the event loop.
 */
final class StreamResponse {
    private final EdgeContext edge;
    private final CallContext call;
    private final ClientResponse client;
    private final ByteArrayOutputStream unsentEvents = new ByteArrayOutputStream();
    private boolean started;
    private long weightVersion = -1;
    private long lastEventAtMillis;
    private long firstEventMillis;
    private long longestGapMillis;

    /** Creates a response of which nothing was sent. */
    StreamResponse(EdgeContext edge, CallContext call, ClientResponse client) {
        this.edge = edge;
        this.call = call;
        this.client = client;
    }

    /** Returns whether the client has been sent a part of the response. */
    boolean isStarted() {
        return started;
    }

    /** Returns the version of the weights that the response began with; -1 if unknown. */
    long weightVersion() {
        return weightVersion;
    }

    /** Starts the response, unless it has, with the status and headers of {@code source}. */
    void start(StreamAttempt source) {
        if (started) {
            return;
        }
        started = true;
        weightVersion = source.endpointResponse().weightVersion();
        HttpHeaders headers = source.headers();
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        long elapsedMillis = EventLoop.nowMillis() - call.arrivedAtMillis();
        edge.stats()
                .recordLatency(
                        "siskintrail_edge_first_event_millis",
                        "rank=\"%d\"".formatted(call.rank()),
                        elapsedMillis);
        client.startChunked(source.endpointResponse().status(), headers);
    }

    /** Adds an event of {@code source}; {@link #flush} sends it. */
    void add(StreamAttempt source, StreamEvent event) {
        recordGap();
        start(source);
        unsentEvents.writeBytes(event.bytes());
    }

    /** Sends the events that were added; returns whether the client takes more. */
    boolean flush() {
        if (unsentEvents.size() > 0) {
            client.sendChunk(unsentEvents.toByteArray());
            unsentEvents.reset();
        }
        return client.isWritable();
    }

    /** Ends the response as complete. */
    void end() {
        flush();
        client.endChunked();
    }

    /** Sends what was added, and closes the connection in the middle of the response. */
    void abort() {
        flush();
        client.abort();
    }

    /** Returns the time to the first event and the longest gap, for the log. */
    String describeTimes() {
        return "first_ms=%d gap_ms=%d".formatted(firstEventMillis, longestGapMillis);
    }

    private void recordGap() {
        long now = EventLoop.nowMillis();
        if (started) {
            longestGapMillis = Math.max(longestGapMillis, now - lastEventAtMillis);
        } else {
            firstEventMillis = now - call.arrivedAtMillis();
        }
        lastEventAtMillis = now;
    }
}
