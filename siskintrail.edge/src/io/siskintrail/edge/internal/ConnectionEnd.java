package io.siskintrail.edge.internal;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.siskintrail.service.LogEvent;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Ways in which a client connection is closed by this host. Confined to the event loop. */
final class ConnectionEnd {
    private static final System.Logger LOG = System.getLogger(ConnectionEnd.class.getName());

    /** Longest time for which a client may take its last answer before the close. */
    private static final long LINGER_MILLIS = 1_000;

    private final Supplier<Channel> channel;
    private boolean closing;
    private String cause = "client";

    /**
     * Creates the end of a connection that is open.
     *
     * @param channel returns the channel, once the connection is in its pipeline
     */
    ConnectionEnd(Supplier<Channel> channel) {
        this.channel = channel;
    }

    /** Returns whether no request is processed any more. */
    boolean isClosing() {
        return closing;
    }

    /** Records why the connection may be closed, for the log. */
    void recordCause(Throwable newCause) {
        cause = newCause.toString();
    }

    /** Closes a connection with nothing inside, or one that is of no more use. */
    void close() {
        channel.get().close();
    }

    /**
     * Closes the connection in the middle of a response, so that the client can tell that it is
     * incomplete.
     */
    void abort() {
        closing = true;
        close();
    }

    /**
     * Ends the output, whose last response was sent, and reads on for a while, until the client
     * closes: a close while there are unread bytes would destroy what the client has not yet
     * received.
     */
    void linger() {
        closing = true;
        cause = "last response sent";
        ((DuplexChannel) channel.get()).shutdownOutput();
        channel.get().eventLoop().schedule(this::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Logs that the connection was closed before its requests had a complete response.
     *
     * @param requestId the ID of the request that is processed, {@code -} for none
     * @param pending the number of requests that wait behind it
     * @param stopping whether the edge stops
     */
    void logClosedWithRequests(String requestId, int pending, boolean stopping) {
        LogEvent.info(LOG, "client.closed")
                .with("request", requestId)
                .with("pending", pending)
                .with("stopping", stopping)
                .with("cause", cause)
                .write();
    }
}
