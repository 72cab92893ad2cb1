package io.siskintrail.edge.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import io.siskintrail.net.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;

/**
 * Opens a connection to an endpoint. A lost SYN packet is sent again by the system only after a
 * second, so a second connection is opened if the first takes many round trips; the one that is
 * open first is used. Nothing is sent before that, so no request arrives twice. Confined to the
 * event loop.
 */
final class EndpointDial {
    /** Time after which a second connection is opened, several round trips between domains. */
    static final int SECOND_DIAL_MILLIS = 40;

    private final EventLoop loop;
    private final int timeoutMillis;
    private final IntFunction<ChannelFuture> connector;
    private final BooleanSupplier isWanted;
    private final BiConsumer<Channel, Throwable> onEnd;
    private final List<ChannelFuture> pending = new ArrayList<>(2);
    private Future<?> secondDial;
    private boolean ended;

    /**
     * Creates a dial; {@link #start()} starts it.
     *
     * @param timeoutMillis the time for both connections together, above {@link
     *     #SECOND_DIAL_MILLIS}
     * @param connector starts to open a connection with a timeout in milliseconds
     * @param isWanted returns false if a second connection is of no use any more
     * @param onEnd called once with the open channel and null, or with null and the cause, which
     *     may be null
     */
    EndpointDial(
            EventLoop loop,
            int timeoutMillis,
            IntFunction<ChannelFuture> connector,
            BooleanSupplier isWanted,
            BiConsumer<Channel, Throwable> onEnd) {
        this.loop = loop;
        this.timeoutMillis = timeoutMillis;
        this.connector = connector;
        this.isWanted = isWanted;
        this.onEnd = onEnd;
    }

    /** Starts to open the first connection. */
    void start() {
        open(timeoutMillis);
        if (!ended) {
            secondDial = loop.after(SECOND_DIAL_MILLIS, this::openSecond);
        }
    }

    private void openSecond() {
        if (!ended && isWanted.getAsBoolean()) {
            open(timeoutMillis - SECOND_DIAL_MILLIS);
        }
    }

    private void open(int millis) {
        ChannelFuture connecting = connector.apply(millis);
        pending.add(connecting);
        connecting.addListener(result -> handleResult(connecting));
    }

    private void handleResult(ChannelFuture connecting) {
        pending.remove(connecting);
        if (ended) {
            connecting.channel().close();
        } else if (connecting.isSuccess()) {
            end(connecting.channel(), null);
        } else if (pending.isEmpty()) {
            end(null, connecting.cause());
        }
    }

    private void end(Channel channel, Throwable cause) {
        ended = true;
        if (secondDial != null) {
            secondDial.cancel(false);
        }
        List.copyOf(pending).forEach(other -> other.channel().close());
        onEnd.accept(channel, cause);
    }
}
