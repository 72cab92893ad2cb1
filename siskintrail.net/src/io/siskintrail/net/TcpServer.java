package io.siskintrail.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** TCP server that listens at one address and initializes each accepted connection. */
public final class TcpServer {
    /**
     * Connections that may wait to be accepted: those that arrive while the process stalls for 1 s.
     */
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ChannelHandler connectionInitializer;
    private ChannelFuture bindFuture;

    /**
     * Creates a server; {@link #listen()} binds its address.
     *
     * @param address the address to listen on
     * @param connectionInitializer initializes the channel of each accepted connection
     */
    public TcpServer(
            EventLoop loop, InetSocketAddress address, ChannelHandler connectionInitializer) {
        this.loop = loop;
        this.address = address;
        this.connectionInitializer = connectionInitializer;
    }

    /** Starts to bind the address; may be called on the event loop. */
    public void listen() {
        bindFuture =
                new ServerBootstrap()
                        .group(loop.group())
                        .channelFactory(() -> loop.closeOnStop(new NioServerSocketChannel()))
                        .handler(new AcceptedConnections())
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(connectionInitializer)
                        .bind(address);
    }

    /**
     * Waits until the address is bound, and throws if that fails; must not be called on the event
     * loop.
     */
    public void awaitListening() {
        bindFuture.syncUninterruptibly();
    }

    /** Closes the listening socket; accepted connections stay open. */
    public void close() {
        bindFuture.channel().close();
    }

    /** Registers accepted connections with the event loop. */
    private final class AcceptedConnections extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object accepted) {
            context.fireChannelRead(loop.closeOnStop((Channel) accepted));
        }
    }
}
