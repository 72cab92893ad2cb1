package io.siskintrail.fake;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.Service;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for an endpoint: it listens, announces itself, and can be killed, restarted, paused
 * and told to leave. What it serves is up to the subclass.
 */
public abstract class FakeEndpoint implements Service {
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int LINGER_RESET = 0;
    private static final int LOOP_THREADS = 4;
    private static final EventLoopGroup LOOPS =
            new NioEventLoopGroup(LOOP_THREADS, new DefaultThreadFactory("fake-endpoint", true));

    private final FakeAnnouncement announcement;
    private final InetSocketAddress configured;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicLong incarnation = new AtomicLong(System.currentTimeMillis());
    private Channel listener;
    private volatile Announcer announcer;
    private InetSocketAddress address;
    private volatile boolean paused;

    /**
     * Prepares an endpoint.
     *
     * @param listen {@code ip:port}; port 0 takes a free one
     * @param announcement where and how to announce
     */
    protected FakeEndpoint(String listen, FakeAnnouncement announcement) {
        this.configured = Addresses.parse(listen);
        this.announcement = announcement;
    }

    @Override
    public final void start() {
        listen(configured);
        announce();
    }

    @Override
    public final void stop() {
        announcer.stop();
        closeAll();
    }

    /** Resets all connections and refuses new ones, as a crashed process does. */
    public final void kill() {
        announcer.stopSilently();
        connections.forEach(c -> c.config().setOption(ChannelOption.SO_LINGER, LINGER_RESET));
        closeAll();
        forget();
    }

    /** Starts again at the same address after {@link #kill()}, as a new incarnation. */
    public final void restart() {
        paused = false;
        setPaused(false);
        incarnation.incrementAndGet();
        listen(address);
        announce();
    }

    /** Does what {@link #restart()} does when the endpoint was killed, and nothing otherwise. */
    public final void restartIfDown() {
        if (!listener.isOpen()) {
            restart();
        }
    }

    /** Stops to send and to answer, with all connections open, until {@link #resume()}. */
    public final void pause() {
        paused = true;
        setPaused(true);
        announcer.setPaused(true);
    }

    /** Goes on after {@link #pause()}. */
    public final void resume() {
        paused = false;
        setPaused(false);
        announcer.setPaused(false);
    }

    /** Refuses connections and closes the open ones; announcements go on. */
    public final void refuse() {
        closeAll();
    }

    /** Takes connections again after {@link #refuse()}. */
    public final void accept() {
        listen(address);
    }

    /** Announces that the endpoint takes no new work; what is in flight goes on. */
    public final void leave() {
        announcer.leave();
    }

    /** Returns the address that the endpoint listens on. */
    public final InetSocketAddress address() {
        return address;
    }

    /** Returns the endpoint id. */
    public abstract String id();

    /** Returns how many requests hold a slot now. */
    public abstract int running();

    /** Returns how many requests wait for a slot now. */
    public abstract int waiting();

    /** Returns what the endpoint announces. */
    protected abstract EndpointInfo describe(String address, long incarnation);

    /** Returns the handler of a new connection. */
    protected abstract ChannelHandler newHandler();

    /** Makes the handlers send and answer nothing, or go on. */
    protected abstract void setPaused(boolean paused);

    /** Drops what a crashed process would lose. */
    protected abstract void forget();

    /** Kills the endpoint from one of its own threads. */
    protected final void killSoon() {
        GlobalEventExecutor.INSTANCE.execute(this::kill);
    }

    private void announce() {
        EndpointInfo info = describe(Addresses.format(address), incarnation.get());
        announcer = new Announcer(announcement, info, this);
        announcer.start();
    }

    private void closeAll() {
        listener.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
        connections.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
    }

    private void listen(InetSocketAddress at) {
        listener =
                new ServerBootstrap()
                        .group(LOOPS)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Pipeline())
                        .bind(at)
                        .syncUninterruptibly()
                        .channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** Sets up the handlers of one connection. */
    private final class Pipeline extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            connections.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new StatusHandler(() -> announcer.status(), () -> paused))
                    .addLast(newHandler());
        }
    }
}
