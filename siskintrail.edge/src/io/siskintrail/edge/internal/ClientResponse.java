package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.siskintrail.lib.Failure;

/**
 * Response to one request of a client. Whatever is sent after its end is dropped and logged, since
 * the connection may answer another request by then. Confined to the event loop.
 */
final class ClientResponse {
    private static final System.Logger LOG = System.getLogger(ClientResponse.class.getName());

    private final CallContext call;
    private final ResponseWriter writer;
    private final ConnectionEnd connectionEnd;
    private final Runnable onEnd;
    private boolean open = true;

    /**
     * Creates a response of which nothing was sent.
     *
     * @param call the request
     * @param writer writes to the connection that the request came on
     * @param connectionEnd closes that connection
     * @param onEnd called once, before the last part is written or the response is broken off
     */
    ClientResponse(
            CallContext call, ResponseWriter writer, ConnectionEnd connectionEnd, Runnable onEnd) {
        this.call = call;
        this.writer = writer;
        this.connectionEnd = connectionEnd;
        this.onEnd = onEnd;
    }

    /** Returns whether the response is not yet complete and the client still awaits it. */
    boolean isOpen() {
        return open;
    }

    /** Returns whether the client takes what is sent, up to some kilobytes. */
    boolean isWritable() {
        return writer.isWritable();
    }

    /** Sends a complete response from an endpoint. */
    void sendResponse(int status, HttpHeaders headers, byte[] body) {
        if (!isLate("response")) {
            sendWhole(ResponseMessages.whole(status, headers, body));
        }
    }

    /**
     * Sends an error response of this system.
     *
     * @param retryAfterMillis the Retry-After delay in milliseconds; 0 to omit the header
     */
    void sendFailure(Failure failure, long retryAfterMillis) {
        if (!isLate("failure")) {
            sendWhole(ResponseMessages.failure(failure, retryAfterMillis));
        }
    }

    private void sendWhole(FullHttpResponse response) {
        end();
        writer.writeWhole(response);
    }

    /** Starts a chunked response. */
    void startChunked(int status, HttpHeaders headers) {
        if (!isLate("head")) {
            HttpResponse head = ResponseMessages.chunkedHead(status, headers);
            writer.writeHead(head);
        }
    }

    /** Sends the next body chunk. */
    void sendChunk(byte[] bytes) {
        if (!isLate("chunk")) {
            writer.writeChunk(bytes);
        }
    }

    /** Ends a chunked response. */
    void endChunked() {
        if (!isLate("end")) {
            end();
            writer.writeEnd();
        }
    }

    /**
     * Closes the connection in the middle of the response, so that the client can tell that it is
     * incomplete.
     */
    void abort() {
        if (!isLate("abort")) {
            end();
            connectionEnd.abort();
        }
    }

    /** Ends the response because the client closed its connection. */
    void abandon() {
        open = false;
    }

    private void end() {
        open = false;
        onEnd.run();
    }

    private boolean isLate(String part) {
        if (!open) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "event=client.response.late request=" + call.requestId() + " part=" + part);
        }
        return !open;
    }
}
