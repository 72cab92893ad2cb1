package io.siskintrail.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Lets the calls of a connection pass when the budget of the server has room for their bodies, and
 * leaves the others unread. Stands before the handler that collects bodies.
 */
final class BodyGate extends ChannelInboundHandlerAdapter {
    /** Time for a body to come: while it is charged, others may have to wait. */
    private static final long BODY_MILLIS = 10_000;

    /**
     * Size up to which a body is not charged: reports of endpoints do not wait behind large bodies.
     */
    private static final int SMALL_BYTES = 64 << 10;

    private final BodyBudget budget;
    private final int maxBodyBytes;
    private final Deque<Object> unread = new ArrayDeque<>();
    private final Deque<Integer> charges = new ArrayDeque<>();
    private final Runnable taken = this::bodyTaken;
    private ChannelHandlerContext ctx;
    private int asked;
    private boolean waiting;
    private boolean paused;
    private Future<?> timeout;

    BodyGate(BodyBudget budget, int maxBodyBytes) {
        this.budget = budget;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the charge of the oldest call that has passed; its caller gives it back. */
    int takeCharge() {
        return charges.remove();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        unread.add(message);
        passOn();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endTimeout();
        if (waiting) {
            budget.cancel(taken);
        }
        unread.forEach(ReferenceCountUtil::release);
        unread.clear();
        while (!charges.isEmpty()) {
            budget.release(charges.remove());
        }
        context.fireChannelInactive();
    }

    private void passOn() {
        while (!waiting && !unread.isEmpty()) {
            if (unread.peek() instanceof HttpRequest request && asked == 0) {
                waiting = true;
                asked = declaredBytes(request);
                budget.take(asked, taken);
                if (waiting) {
                    paused = true;
                    ctx.channel().config().setAutoRead(false);
                }
                continue;
            }
            passNext();
        }
    }

    private void passNext() {
        Object message = unread.remove();
        if (message instanceof HttpRequest) {
            asked = 0;
        }
        if (message instanceof LastHttpContent) {
            endTimeout();
        }
        ctx.fireChannelRead(message);
    }

    /** Called when the body of the next call is charged, at once or when others have ended. */
    private void bodyTaken() {
        waiting = false;
        charges.add(asked);
        if (asked > 0) {
            timeout =
                    ctx.executor().schedule(() -> ctx.close(), BODY_MILLIS, TimeUnit.MILLISECONDS);
        }
        passNext();
        if (paused) {
            paused = false;
            ctx.channel().config().setAutoRead(true);
            passOn();
        }
    }

    private void endTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    /** Returns what a body may take; nothing for a small one, or one that is refused unread. */
    private int declaredBytes(HttpRequest request) {
        if (HttpUtil.isTransferEncodingChunked(request)) {
            return maxBodyBytes;
        }
        long declared = HttpUtil.getContentLength(request, 0L);
        boolean isCharged = declared > SMALL_BYTES && declared <= maxBodyBytes;
        return isCharged ? (int) declared : 0;
    }
}
