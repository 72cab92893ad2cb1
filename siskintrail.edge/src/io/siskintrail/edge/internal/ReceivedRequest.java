package io.siskintrail.edge.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.siskintrail.net.EventLoop;

/**
 * Request of a client that waits for its turn.
 *
 * @param call the request; null if it is unreadable
 * @param keepAlive whether the connection may stay open behind its response
 * @param unreadableCause why it is unreadable; null if it is not
 * @param hostFailed whether it is unreadable because this host failed
 */
record ReceivedRequest(
        CallContext call, boolean keepAlive, Throwable unreadableCause, boolean hostFailed) {

    /** Returns a request that the decoder has received whole or found malformed or too large. */
    static ReceivedRequest of(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean keepAlive = isBodyTooLong(cause) && HttpUtil.isKeepAlive(request);
            return new ReceivedRequest(null, keepAlive, cause, false);
        }
        CallContext call =
                new CallContext(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        ByteBufUtil.getBytes(request.content()),
                        EventLoop.nowMillis());
        return new ReceivedRequest(call, HttpUtil.isKeepAlive(request), null, false);
    }

    /** Returns a request in whose middle the connection failed with {@code cause}. */
    static ReceivedRequest brokenBy(Throwable cause) {
        return new ReceivedRequest(null, false, cause, !(cause instanceof DecoderException));
    }

    boolean isUnreadable() {
        return unreadableCause != null;
    }

    /** Returns whether the request is HEAD; false if it is unreadable. */
    boolean isHead() {
        return call != null && call.method().equals(HttpMethod.HEAD.name());
    }

    /** Returns whether the body exceeds the limit, behind which the next request can be read. */
    boolean isBodyTooLong() {
        return isBodyTooLong(unreadableCause);
    }

    private static boolean isBodyTooLong(Throwable cause) {
        return cause instanceof TooLongHttpContentException;
    }
}
