package io.siskintrail.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.siskintrail.service.Service;

/** Accepts links from other processes. */
public final class LinkServer implements Service {
    private static final int BACKLOG = 512;

    private final EventLoop loop;
    private final Identity self;
    private final LinkListener listener;
    private Channel server;

    /** Prepares a server at the address that {@code self} names. */
    public LinkServer(EventLoop loop, Identity self, LinkListener listener) {
        this.loop = loop;
        this.self = self;
        this.listener = listener;
    }

    @Override
    public void start() {
        server =
                new ServerBootstrap()
                        .group(loop.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(LinkHandler.initializer(self, listener))
                        .bind(HostAddress.of(self.host()))
                        .syncUninterruptibly()
                        .channel();
    }

    @Override
    public void stop() {
        server.close();
    }
}
