package io.siskintrail.edge.internal;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Headers of a response with a limited number of fields. A field takes many times the memory of its
 * bytes if these are few, so that a limit in bytes alone does not bound the memory of a head.
 */
final class BoundedHeaders extends DefaultHttpHeaders {
    /** Creates the headers of each message. */
    static final HttpHeadersFactory FACTORY =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new BoundedHeaders();
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return new BoundedHeaders();
                }
            };

    private static final int MAX_FIELDS = 256;

    private int fields;

    private BoundedHeaders() {
        super(
                DefaultHttpHeadersFactory.headersFactory().getNameValidator(),
                DefaultHttpHeadersFactory.headersFactory().getValueValidator());
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        count();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        count();
        return super.add(name, value);
    }

    private void count() {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongFrameException(
                    "response has more than %d fields".formatted(MAX_FIELDS));
        }
    }
}
