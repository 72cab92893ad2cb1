package io.siskintrail.edge.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Notices that a connection is idle for as long as the limit in force allows. The handler replaces
 * itself when the limit has changed. A smaller limit applies only once the connection has no
 * request inside, so that it shortens no response in progress.
 */
final class IdleLimit extends IdleStateHandler {
    private final LongSupplier limitMillis;
    private final long currentMillis;
    private final ClientConnection connection;

    /** User event: the limits of the configuration may have changed. */
    enum LimitsChanged {
        INSTANCE
    }

    /**
     * Creates a handler with the limit in force.
     *
     * @param limitMillis returns the limit in force in milliseconds
     */
    IdleLimit(LongSupplier limitMillis, ClientConnection connection) {
        this(limitMillis, limitMillis.getAsLong(), connection);
    }

    private IdleLimit(LongSupplier limitMillis, long currentMillis, ClientConnection connection) {
        super(true, currentMillis, currentMillis, 0, TimeUnit.MILLISECONDS);
        this.limitMillis = limitMillis;
        this.currentMillis = currentMillis;
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (replaceIfChanged(ctx)) {
            ctx.fireChannelRead(bytes);
        } else {
            super.channelRead(ctx, bytes);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event == LimitsChanged.INSTANCE) {
            replaceIfChanged(ctx);
        } else {
            super.userEventTriggered(ctx, event);
        }
    }

    @Override
    protected void channelIdle(ChannelHandlerContext ctx, IdleStateEvent event) throws Exception {
        boolean isTooEarly = limitMillis.getAsLong() > currentMillis;
        if (!isTooEarly || !replaceIfChanged(ctx)) {
            super.channelIdle(ctx, event);
        }
    }

    /** Gives the connection a handler with the limit in force, whose time begins now. */
    private boolean replaceIfChanged(ChannelHandlerContext ctx) {
        long wantedMillis = limitMillis.getAsLong();
        boolean applies = wantedMillis > currentMillis || connection.isIdle();
        if (wantedMillis == currentMillis || !applies) {
            return false;
        }
        ctx.pipeline().replace(this, null, new IdleLimit(limitMillis, connection));
        return true;
    }
}
