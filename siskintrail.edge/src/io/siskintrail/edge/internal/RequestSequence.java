package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Order of the requests of a client connection: each begins when the response to the one before it
 * was sent. Confined to the event loop.
 */
final class RequestSequence {
    private static final System.Logger LOG = System.getLogger(RequestSequence.class.getName());

    private final ClientServer server;
    private final RequestReception reception;
    private final ResponseWriter writer;
    private final ConnectionEnd end;
    private final BooleanSupplier open;
    private Exchange current;

    /** Whether the current request waits for the first configuration. */
    private boolean holding;

    /**
     * Creates the sequence of a connection without requests.
     *
     * @param open returns whether the client is still connected
     */
    RequestSequence(
            ClientServer server,
            RequestReception reception,
            ResponseWriter writer,
            ConnectionEnd end,
            BooleanSupplier open) {
        this.server = server;
        this.reception = reception;
        this.writer = writer;
        this.end = end;
        this.open = open;
    }

    /** Returns whether a request has begun whose response is not complete. */
    boolean isBusy() {
        return isRunning() || holding;
    }

    /** Returns whether a request is processed whose response is not complete. */
    boolean isRunning() {
        return current != null;
    }

    /** Returns the ID of the request that is processed, {@code -} if there is none. */
    String currentId() {
        return current == null ? "-" : current.requestId();
    }

    /** Starts the next request that waits, unless the one before it is still to be answered. */
    void startNext() {
        if (isBusy() || writer.isPending() || !reception.hasPending()) {
            return;
        }
        ReceivedRequest next = reception.poll();
        writer.setKeepAlive(next.keepAlive());
        writer.setAnswersHead(next.isHead());
        reception.resumeReading();
        if (next.isUnreadable()) {
            rejectUnread(next);
        } else {
            begin(next.call());
        }
    }

    /** Stops all work because the client closed its connection. */
    void cancel() {
        if (current != null) {
            Exchange abandoned = current;
            current = null;
            abandoned.cancel();
        }
    }

    /** Ends the current request because the process stops. */
    void terminate() {
        current.terminate();
    }

    /** Lets the current request send more. */
    void handleWritable() {
        if (current != null) {
            Exchange writable = current;
            writable.guard(writable::handleClientWritable);
        }
    }

    /** Refuses a request that came after the response before it had announced the close. */
    void refuseBehindLast(ReceivedRequest request) {
        ResultCode code = ResultCode.NOT_RUN_SHUTTING_DOWN;
        Failure failure = new Failure(code, "behind the last response of its connection");
        if (request.call() != null) {
            server.recordRejection(request.call(), failure);
        }
        writer.setAnswersHead(request.isHead());
        writer.sendFailure(failure, server.retryAfterMillis(code));
    }

    private void begin(CallContext call) {
        ClientResponse response = new ClientResponse(call, writer, end, this::endCurrent);
        try {
            holding = server.tryHold(call, () -> resume(call, response));
        } catch (RuntimeException | Error e) {
            fail(call, response, e);
            return;
        }
        if (!holding) {
            process(call, response);
        }
    }

    private void endCurrent() {
        current = null;
    }

    private void resume(CallContext call, ClientResponse response) {
        holding = false;
        if (open.getAsBoolean()) {
            process(call, response);
        }
    }

    private void process(CallContext call, ClientResponse response) {
        try {
            filterAndStart(call, response);
        } catch (RuntimeException | Error e) {
            fail(call, response, e);
        }
    }

    private void filterAndStart(CallContext call, ClientResponse response) {
        Optional<Failure> rejection = server.filter(call);
        if (rejection.isPresent()) {
            response.sendFailure(rejection.get(), server.retryAfterMillis(rejection.get().code()));
            return;
        }
        current = server.createExchange(response, call);
        current.start();
    }

    /** Answers a request during which this edge failed, unless it was answered before. */
    private void fail(CallContext call, ClientResponse response, Throwable cause) {
        if (current != null && response.isOpen()) {
            current.fail(cause);
            return;
        }
        LOG.log(
                System.Logger.Level.ERROR,
                "event=request.failed request=" + call.requestId(),
                cause);
        if (response.isOpen()) {
            response.sendFailure(new Failure(ResultCode.INTERNAL, cause.toString()), 0);
        }
    }

    private void rejectUnread(ReceivedRequest request) {
        if (request.hostFailed()) {
            Failure failure =
                    new Failure(ResultCode.INTERNAL, request.unreadableCause().toString());
            writer.sendFailure(failure, 0);
        } else {
            rejectUnreadable(request);
        }
    }

    private void rejectUnreadable(ReceivedRequest request) {
        Throwable cause = request.unreadableCause();
        boolean tooLong = server.isFrameTooLong(cause);
        server.recordUnreadable(tooLong ? ResultCode.INPUT_TOO_LONG : ResultCode.BAD_HEADER, cause);
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (request.isBodyTooLong()) {
            status = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        } else if (tooLong) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        writer.sendEmpty(status);
    }
}
