package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/**
 * Encodes responses; leaves out the body of an answer to HEAD, behind which the next one begins.
 */
final class ClientResponseEncoder extends HttpResponseEncoder {
    private final BooleanSupplier answersHead;

    /**
     * Creates the encoder of a connection.
     *
     * @param answersHead returns whether the request that is answered is HEAD
     */
    ClientResponseEncoder(BooleanSupplier answersHead) {
        this.answersHead = answersHead;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return super.isContentAlwaysEmpty(response) || answersHead.getAsBoolean();
    }
}
