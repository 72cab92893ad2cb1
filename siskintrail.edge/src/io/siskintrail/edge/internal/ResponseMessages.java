package io.siskintrail.edge.internal;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Builds the messages that a client is answered with. */
final class ResponseMessages {
    private static final double MILLIS_PER_SECOND = 1_000;

    private ResponseMessages() {}

    /** Returns a complete response from an endpoint. */
    static FullHttpResponse whole(int status, HttpHeaders headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body),
                        headers,
                        new DefaultHttpHeaders());
        HttpUtil.setContentLength(response, body.length);
        return response;
    }

    /**
     * Returns an error response of this system.
     *
     * @param retryAfterMillis the Retry-After delay in milliseconds; 0 to omit the header
     */
    static FullHttpResponse failure(Failure failure, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        ResultCode code = failure.code();
        if (retryAfterMillis > 0) {
            String retryAfterSeconds =
                    String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND);
            headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        String message = "%d %s\n".formatted(code.number(), code.meaning());
        return whole(code.httpStatus(), headers, message.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns a response without a body. */
    static FullHttpResponse empty(HttpResponseStatus status) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        HttpUtil.setContentLength(response, 0);
        return response;
    }

    /** Returns the head of a response whose body follows in chunks. */
    static HttpResponse chunkedHead(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        return response;
    }
}
