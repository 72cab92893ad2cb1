package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import io.siskintrail.edge.CopySource;
import io.siskintrail.edge.EngineOrder;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.service.LogEvent;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Copies the memory of a running stream to another engine again and again, after the engine that
 * kept its copy was lost. Each time only what is new is copied. Answers failure domains that are
 * lost one after the other while a long stream runs. Used on the event loop.
 */
final class FollowUpCopy {
    private static final System.Logger LOG = System.getLogger(FollowUpCopy.class.getName());

    /** Time between two copies; what was generated since is read again after a loss. */
    private static final long REPEAT_MILLIS = 1_000;

    private static final int OK = 200;
    private static final int MAX_ANSWER_BYTES = 64 << 10;

    private final EdgeParts edge;
    private final String requestId;
    private final EndpointView source;
    private final EndpointView target;
    private final long tokens;
    private String handle;
    private boolean over;
    private Future<?> next;

    /** Prepares copies of the stream {@code requestId} at {@code source}. */
    FollowUpCopy(
            EdgeParts edge,
            String requestId,
            EndpointView source,
            EndpointView target,
            long tokens) {
        this.edge = edge;
        this.requestId = requestId;
        this.source = source;
        this.target = target;
        this.tokens = tokens;
    }

    void start() {
        target.beginCopy(tokens);
        edge.loads().changed(target);
        copy();
    }

    /** Ends the copies; what was copied stays for a while unless {@code frees}. */
    void stop(boolean frees) {
        if (over) {
            return;
        }
        over = true;
        target.endCopy(tokens);
        edge.loads().changed(target);
        if (next != null) {
            next.cancel(false);
        }
        if (frees && handle != null) {
            order(edge.protocol().freeCopy(source.record().address(), handle), answer -> {});
        }
    }

    EndpointView target() {
        return target;
    }

    /** Returns the last whole copy, empty before the first. */
    Optional<CopySource> copied() {
        return Optional.ofNullable(handle).map(h -> new CopySource(source.record().address(), h));
    }

    private void copy() {
        if (over) {
            return;
        }
        String to = target.record().address();
        order(
                edge.protocol().copyRun(source.record().address(), requestId, to),
                answer -> copiedNow(answer.status, answer.body.toByteArray()));
    }

    private void copiedNow(int status, byte[] body) {
        if (over) {
            return;
        }
        Optional<String> name =
                status == OK ? edge.protocol().readCopyName(body) : Optional.empty();
        if (handle == null || name.isEmpty()) {
            LogEvent.info(LOG, "stream.copied")
                    .with("request", requestId)
                    .with("from", source.record().id())
                    .with("to", target.record().id())
                    .with("status", status)
                    .write();
        }
        name.ifPresent(n -> handle = n);
        next = edge.loop().after(REPEAT_MILLIS, this::copy);
    }

    private void order(EngineOrder order, Consumer<Answer> done) {
        EndpointRequest request =
                new EndpointRequest(order.method(), order.target(), order.headers(), order.body());
        Answer answer = new Answer(done);
        edge.pool().send(new Attempt(source, request, requestId, answer), true);
    }

    /** Takes the answer to an order. */
    private static final class Answer implements AttemptListener {
        private final Consumer<Answer> done;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        Answer(Consumer<Answer> done) {
            this.done = done;
        }

        @Override
        public void notConnected(String cause) {
            done.accept(this);
        }

        @Override
        public void head(HttpResponse response) {
            status = response.status().code();
        }

        @Override
        public void body(byte[] bytes) {
            if (body.size() + bytes.length <= MAX_ANSWER_BYTES) {
                body.writeBytes(bytes);
            }
        }

        @Override
        public void complete() {
            done.accept(this);
        }

        @Override
        public void broken(String cause) {
            status = 0;
            done.accept(this);
        }
    }
}
