package io.siskintrail.edge.internal;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Writes the responses of a client connection, one after the other, and announces the close behind
 * the last one. Confined to the event loop.
 */
final class ResponseWriter {
    private static final System.Logger LOG = System.getLogger(ResponseWriter.class.getName());

    private final Supplier<Channel> channel;
    private final ConnectionEnd end;
    private final BooleanSupplier closesBehindNext;
    private final Runnable onSent;
    private boolean keepAlive = true;

    /** Whether the request that is answered is HEAD. */
    private boolean answersHead;

    /** Whether the last bytes of a response are still to be written to the socket. */
    private boolean pending;

    /** Whether a response told the client that the connection closes behind it. */
    private boolean closeAnnounced;

    /** Whether a response that could not be sent was replaced by another one. */
    private boolean replaced;

    /**
     * Creates the writer of a connection on which nothing was sent.
     *
     * @param channel returns the channel, once the connection is in its pipeline
     * @param end closes the connection if a response cannot be sent
     * @param closesBehindNext returns whether this host closes behind the next response
     * @param onSent called when the socket has taken the end of a response
     */
    ResponseWriter(
            Supplier<Channel> channel,
            ConnectionEnd end,
            BooleanSupplier closesBehindNext,
            Runnable onSent) {
        this.channel = channel;
        this.end = end;
        this.closesBehindNext = closesBehindNext;
        this.onSent = onSent;
    }

    /** Sets whether the client lets the connection stay open behind the next response. */
    void setKeepAlive(boolean newKeepAlive) {
        keepAlive = newKeepAlive;
    }

    /** Sets whether the next response, to its end, answers HEAD. */
    void setAnswersHead(boolean newAnswersHead) {
        answersHead = newAnswersHead;
    }

    /** Returns whether the request that is answered is HEAD, so that no body may follow. */
    boolean answersHead() {
        return answersHead;
    }

    /** Returns whether a response is complete but not yet written to the socket. */
    boolean isPending() {
        return pending;
    }

    /** Returns whether a response told the client that the connection closes behind it. */
    boolean isCloseAnnounced() {
        return closeAnnounced;
    }

    /** Returns whether the client takes what is sent, up to some kilobytes. */
    boolean isWritable() {
        return channel.get().isWritable();
    }

    /**
     * Sends an error response of this system.
     *
     * @param retryAfterMillis the Retry-After delay in milliseconds; 0 to omit the header
     */
    void sendFailure(Failure failure, long retryAfterMillis) {
        writeWhole(ResponseMessages.failure(failure, retryAfterMillis));
    }

    /** Sends a response without a body. */
    void sendEmpty(HttpResponseStatus status) {
        writeWhole(ResponseMessages.empty(status));
    }

    /** Writes a complete response. */
    void writeWhole(FullHttpResponse response) {
        setConnectionHeader(response);
        writeLast(response);
    }

    /** Writes the head of a response whose body follows in chunks. */
    void writeHead(HttpResponse head) {
        setConnectionHeader(head);
        channel.get().write(head);
    }

    /** Writes the next chunk of a body. */
    void writeChunk(byte[] bytes) {
        channel.get().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    /** Ends a body in chunks. */
    void writeEnd() {
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void setConnectionHeader(HttpResponse response) {
        if (!keepAlive || closesBehindNext.getAsBoolean()) {
            closeAnnounced = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes the last part of a response; the request is over once the socket has taken it. */
    private void writeLast(HttpObject lastPart) {
        pending = true;
        boolean whole = lastPart instanceof FullHttpResponse;
        channel.get()
                .writeAndFlush(lastPart)
                .addListener(write -> handleWritten(whole, write.cause()));
    }

    private void handleWritten(boolean whole, Throwable failure) {
        pending = false;
        if (failure == null) {
            answersHead = false;
            onSent.run();
        } else {
            handleUnsent(whole, failure);
        }
    }

    /**
     * Replaces a response that could not be encoded, once. A connection whose socket failed, or of
     * whose response a part may have been written, is closed.
     */
    private void handleUnsent(boolean whole, Throwable failure) {
        end.recordCause(failure);
        if (!whole || replaced || failure instanceof IOException) {
            end.abort();
            return;
        }
        replaced = true;
        keepAlive = false;
        LOG.log(System.Logger.Level.ERROR, "event=client.response.failed", failure);
        sendFailure(new Failure(ResultCode.INTERNAL, failure.toString()), 0);
    }
}
