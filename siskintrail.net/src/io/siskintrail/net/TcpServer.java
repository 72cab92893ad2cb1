package io.siskintrail.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** Listens at one address and sets up what connects there. */
public final class TcpServer {
    /** Connections that may wait to be accepted: those of a second in which the process stood. */
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ChannelHandler connections;
    private ChannelFuture listening;

    /**
     * Prepares a server.
     *
     * @param address where it listens
     * @param connections sets up each connection
     */
    public TcpServer(EventLoop loop, InetSocketAddress address, ChannelHandler connections) {
        this.loop = loop;
        this.address = address;
        this.connections = connections;
    }

    /** Begins to listen; may be called on the event loop. */
    public void listen() {
        listening =
                new ServerBootstrap()
                        .group(loop.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(connections)
                        .bind(address);
    }

    /** Waits until the address is taken, and throws when it cannot be; not on the event loop. */
    public void awaitListening() {
        listening.syncUninterruptibly();
    }

    /** Stops to listen. */
    public void close() {
        listening.channel().close();
    }
}
