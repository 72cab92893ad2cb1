package io.siskintrail.edge.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.io.IOException;

/**
 * Connection of a client. Requests on it are answered in order. The connection is read while a
 * request is processed, so that a disconnect is noticed at once. Confined to the event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());

    private final ClientServer server;
    private final ConnectionEnd end = new ConnectionEnd(this::channel);
    private final RequestReception reception = new RequestReception(this::channel);
    private final ResponseWriter writer =
            new ResponseWriter(this::channel, end, this::closesBehindLast, this::handleSent);
    private final RequestSequence sequence;
    private ChannelHandlerContext ctx;

    /** Creates the connection of a channel, to whose pipeline it is to be added as the last. */
    ClientConnection(ClientServer server) {
        this.server = server;
        this.sequence =
                new RequestSequence(server, reception, writer, end, () -> ctx.channel().isActive());
    }

    private Channel channel() {
        return ctx.channel();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.addConnection(this);
        context.fireChannelActive();
    }

    /** Records that the first bytes of a request have come. */
    void startReceiving() {
        if (!end.isClosing()) {
            reception.start();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!end.isClosing() && !reception.isEnded()) {
            reception.add(ReceivedRequest.of(request));
        }
    }

    /** Starts the next request when all that were read together are queued. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        startNext();
        context.fireChannelReadComplete();
    }

    private void startNext() {
        if (!end.isClosing()) {
            sequence.startNext();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.removeConnection(this);
        if (!isIdle()) {
            end.logClosedWithRequests(
                    sequence.currentId(), reception.pendingRequests(), server.isStopping());
        }
        reception.clear();
        sequence.cancel();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (writer.isWritable()) {
            sequence.handleWritable();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            return;
        }
        // The first event of a silence comes also where bytes are leaving.
        boolean stoppedReading =
                idle.state() == IdleState.WRITER_IDLE && !idle.isFirst() && writer.isPending();
        if (stoppedReading || isFinished()) {
            end.close();
        } else if (isOnlyReceiving() && reception.isTooSlow(idle)) {
            refuseRest();
            writer.sendEmpty(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    /**
     * Closes the connection if its socket failed or no request is inside. Otherwise the requests
     * that were received are answered first, also after an error: one request that cannot be read
     * is no reason to cut off others.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end.recordCause(cause);
        if (cause instanceof IOException || isIdle()) {
            end.close();
            return;
        }
        if (reception.isEnded()) {
            return;
        }
        LOG.log(System.Logger.Level.ERROR, "event=client.input.failed", cause);
        boolean wasReceiving = reception.isReceiving();
        reception.end();
        if (wasReceiving) {
            reception.addBroken(ReceivedRequest.brokenBy(cause));
            startNext();
        }
    }

    /** Ends the reception of a request that is answered before it is whole. */
    private void refuseRest() {
        reception.end();
        writer.setKeepAlive(false);
    }

    /** Returns whether no request is inside, not even in part, and all responses were sent. */
    boolean isIdle() {
        return !reception.isReceiving() && !isAnswering();
    }

    /** Returns whether a request was received whole whose response is not yet sent. */
    boolean isAnswering() {
        return sequence.isBusy() || writer.isPending() || reception.hasPending();
    }

    private boolean isOnlyReceiving() {
        return reception.isReceiving() && !isAnswering();
    }

    /** Returns whether a request is processed whose response is not complete. */
    boolean isRunning() {
        return sequence.isRunning();
    }

    /** Returns whether the request that is answered is HEAD, so that no body may follow. */
    boolean answersHead() {
        return writer.answersHead();
    }

    /** Returns whether a response is complete but not yet written to the socket. */
    boolean isResponsePending() {
        return writer.isPending();
    }

    /** Returns whether no request is known behind the current one that will be answered. */
    private boolean isLast() {
        return !reception.hasPending() && (!reception.isReceiving() || server.isTerminating());
    }

    private boolean closesBehindLast() {
        return (server.isStopping() || reception.isEnded()) && isLast();
    }

    /**
     * Applies the idle limit of a changed configuration; other limits apply to the next request.
     */
    void applyLimits() {
        ctx.pipeline().fireUserEventTriggered(IdleLimit.LimitsChanged.INSTANCE);
    }

    /**
     * Closes the connection if it was used and is idle; otherwise its last response will. The first
     * request of a connection that was just opened is on its way.
     */
    void closeIfIdle() {
        if (reception.isUsed() && isFinished()) {
            end.close();
        }
    }

    /** Returns whether nothing is inside and no answer before the close is being received. */
    boolean isFinished() {
        return isIdle() && !end.isClosing();
    }

    /**
     * Ends the current request because the process stops, or refuses the one that is being
     * received.
     */
    void terminate() {
        if (sequence.isRunning()) {
            sequence.terminate();
        } else if (isOnlyReceiving()) {
            refuseRest();
            ResultCode code = ResultCode.NOT_RUN_SHUTTING_DOWN;
            writer.sendFailure(new Failure(code, "the host ends"), server.retryAfterMillis(code));
        }
    }

    /** Goes on to the next request, unless the response that was sent is the last. */
    private void handleSent() {
        boolean announced = writer.isCloseAnnounced();
        if (announced && server.isStopping() && reception.hasPending()) {
            sequence.refuseBehindLast(reception.poll());
        } else if (announced || closesBehindLast()) {
            reception.end();
            end.linger();
        } else {
            startNext();
        }
    }
}
