package io.siskintrail.router.internal.http;

import io.micronaut.context.annotation.Primary;
import io.micronaut.http.server.netty.HttpCompressionStrategy;
import io.netty.handler.codec.http.HttpResponse;
import jakarta.inject.Singleton;

/**
 * Sends every response as it is. A compressor holds tokens of a stream back until its buffer is
 * full.
 */
@Singleton
@Primary
final class NoCompression implements HttpCompressionStrategy {

    @Override
    public boolean isEnabled() {
        return false;
    }

    @Override
    public boolean shouldCompress(HttpResponse response) {
        return false;
    }

    @Override
    public int getMaxZstdEncodeSize() {
        return 0;
    }
}
