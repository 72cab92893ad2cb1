package io.siskintrail.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.siskintrail.lib.HostId;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.MessageKind;

/**
 * Keeps a link to one host open, reconnecting whenever it closes. All methods except {@link
 * #start()} must be called on the event loop.
 */
public final class LinkDialer implements Service {
    private static final System.Logger LOG = System.getLogger(LinkDialer.class.getName());

    /** Connect timeout; a few round trips between failure domains. */
    private static final int CONNECT_TIMEOUT_MILLIS = 600;

    /** Delay between the end of a connection and the next attempt. */
    private static final long RETRY_DELAY_MILLIS = 200;

    private final EventLoop loop;
    private final HostId target;
    private final long retryDelayMillis;
    private final Bootstrap bootstrap;
    private ChannelFuture attempt;
    private Future<?> scheduledRetry;
    private Link link;
    private boolean stopped;

    /**
     * Creates a dialer; {@link #start()} makes the first connection attempt.
     *
     * @param self the identity that this process sends on links
     * @param target the host to connect to
     * @param listener receives the events of the link, on the event loop
     */
    public LinkDialer(EventLoop loop, Identity self, HostId target, LinkListener listener) {
        this(loop, self, target, listener, RETRY_DELAY_MILLIS);
    }

    /** Creates a dialer that waits {@code retryDelayMillis} before it reconnects. */
    LinkDialer(
            EventLoop loop,
            Identity self,
            HostId target,
            LinkListener listener,
            long retryDelayMillis) {
        this.loop = loop;
        this.target = target;
        this.retryDelayMillis = retryDelayMillis;
        this.bootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .channelFactory(() -> loop.closeOnStop(new NioSocketChannel()))
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(LinkHandler.dialed(self, new LinkTracker(listener)));
    }

    @Override
    public void start() {
        loop.execute(this::dial);
    }

    @Override
    public void stop() {
        stopped = true;
        if (link != null) {
            link.close();
        }
    }

    /** Returns the open link, or null when there is none. */
    public Link link() {
        return link;
    }

    /**
     * Connects at once unless a connection is open; called when there is news that the host is up.
     * A pending attempt is abandoned: if the host had no power when it began, it would only end
     * with the connect timeout.
     */
    public void dialNow() {
        if (stopped || attempt != null && attempt.channel().isActive()) {
            return;
        }
        if (scheduledRetry != null) {
            scheduledRetry.cancel(false);
        }
        ChannelFuture abandoned = attempt;
        dial();
        if (abandoned != null) {
            abandoned.channel().close();
        }
    }

    private void dial() {
        if (stopped) {
            return;
        }
        ChannelFuture thisAttempt = bootstrap.connect(Addresses.of(target));
        attempt = thisAttempt;
        thisAttempt.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        scheduleDial(thisAttempt);
                    } else if (stopped || thisAttempt != attempt) {
                        thisAttempt.channel().close();
                    } else {
                        thisAttempt
                                .channel()
                                .closeFuture()
                                .addListener(c -> scheduleDial(thisAttempt));
                    }
                });
    }

    /** Schedules a reconnect, unless another attempt was started since {@code ended}. */
    private void scheduleDial(ChannelFuture ended) {
        if (!stopped && ended == attempt) {
            scheduledRetry = loop.after(retryDelayMillis, this::dial);
        }
    }

    /** Keeps track of the open link and forwards all events to the listener. */
    private final class LinkTracker implements LinkListener {
        private final LinkListener delegate;

        LinkTracker(LinkListener delegate) {
            this.delegate = delegate;
        }

        @Override
        public void opened(Link opened) {
            link = opened;
            LogEvent.info(LOG, "link.opened").with("peer", target).write();
            delegate.opened(opened);
        }

        @Override
        public void received(Link from, MessageKind kind, byte[] body) {
            delegate.received(from, kind, body);
        }

        @Override
        public void closed(Link closed) {
            link = null;
            LogEvent.info(LOG, "link.closed").with("peer", target).write();
            delegate.closed(closed);
        }
    }
}
