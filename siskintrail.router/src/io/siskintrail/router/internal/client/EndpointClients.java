package io.siskintrail.router.internal.client;

import io.micronaut.core.annotation.AnnotationMetadataResolver;
import io.micronaut.core.convert.ConversionService;
import io.micronaut.core.io.ResourceResolver;
import io.micronaut.http.bind.DefaultRequestBinderRegistry;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.filter.DefaultHttpClientFilterResolver;
import io.micronaut.http.client.netty.DefaultHttpClient;
import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.client.netty.ssl.NettyClientSslBuilder;
import io.micronaut.websocket.context.WebSocketBeanRegistry;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.URI;
import java.util.List;

/** Creates HTTP clients for endpoints. */
public final class EndpointClients {

    private EndpointClients() {}

    /**
     * Creates a client that opens a connection for each request, on which no answer to an earlier
     * one can come, and fails a request whose response has no valid status. The caller must close
     * it.
     *
     * @param configuration the settings of the client; its pool of connections is switched off
     */
    public static DefaultHttpClient create(HttpClientConfiguration configuration) {
        configuration.getConnectionPoolConfiguration().setEnabled(false);
        ConversionService conversions = ConversionService.SHARED;
        // Only this constructor takes a customizer. A default client has the codecs for bodies.
        try (DefaultHttpClient defaults = new DefaultHttpClient((URI) null, configuration)) {
            return new DefaultHttpClient(
                    null,
                    null,
                    configuration,
                    null,
                    new DefaultHttpClientFilterResolver(
                            null, AnnotationMetadataResolver.DEFAULT, List.of()),
                    List.of(),
                    null,
                    new NettyClientSslBuilder(new ResourceResolver()),
                    defaults.getMediaTypeCodecRegistry(),
                    defaults.getHandlerRegistry(),
                    WebSocketBeanRegistry.EMPTY,
                    new DefaultRequestBinderRegistry(conversions, List.of()),
                    null,
                    NioSocketChannel::new,
                    NioDatagramChannel::new,
                    new StatusLineCheck(null),
                    null,
                    conversions,
                    null);
        }
    }

    /**
     * Puts a guard of status lines before the decoder of each connection.
     *
     * @param channel the connection; null for the client as a whole
     */
    private record StatusLineCheck(Channel channel) implements NettyClientCustomizer {

        @Override
        public NettyClientCustomizer specializeForChannel(Channel opened, ChannelRole role) {
            return new StatusLineCheck(opened);
        }

        @Override
        public void onInitialPipelineBuilt() {
            channel.pipeline().addFirst(new StatusLineGuard());
        }
    }
}
