package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import io.siskintrail.edge.CopySource;
import io.siskintrail.edge.KvCacheRequest;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.service.LogEvent;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Periodically copies the KV cache of a running stream to another engine, after the engine that
 * held its copy was lost. Each copy transfers only what is new. Protects long streams from failure
 * domains that are lost one after the other. Confined to the event loop.
 */
final class KvCacheReplicator {
    private static final System.Logger LOG = System.getLogger(KvCacheReplicator.class.getName());

    /**
     * Interval between copies; what was generated since the last copy is prefilled again after a
     * loss.
     */
    private static final long COPY_INTERVAL_MILLIS = 1_000;

    private static final int HTTP_OK = 200;
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    private final EdgeContext edge;
    private final String requestId;
    private final EndpointView source;
    private final EndpointView target;
    private final long tokens;
    private String handle;
    private boolean stopped;
    private Future<?> nextCopy;

    /**
     * Creates a replicator of the stream {@code requestId} at {@code source}; {@link #start()}
     * starts it.
     */
    KvCacheReplicator(
            EdgeContext edge,
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
        edge.loadExchange().recordChange(target);
        copy();
    }

    /** Stops copying. The engine keeps the copied KV cache for a while unless {@code free}. */
    void stop(boolean free) {
        if (stopped) {
            return;
        }
        stopped = true;
        target.endCopy(tokens);
        edge.loadExchange().recordChange(target);
        if (nextCopy != null) {
            nextCopy.cancel(false);
        }
        if (free && handle != null) {
            send(
                    edge.protocol().buildFreeRequest(source.record().address(), handle),
                    response -> {});
        }
    }

    EndpointView target() {
        return target;
    }

    /** Returns the last complete copy, empty before the first. */
    Optional<CopySource> copySource() {
        return Optional.ofNullable(handle)
                .map(copyHandle -> new CopySource(source.record().address(), copyHandle));
    }

    private void copy() {
        if (stopped) {
            return;
        }
        String to = target.record().address();
        send(
                edge.protocol().buildCopyRequest(source.record().address(), requestId, to),
                response -> handleCopyResponse(response.status, response.body.toByteArray()));
    }

    private void handleCopyResponse(int status, byte[] body) {
        if (stopped) {
            return;
        }
        Optional<String> name =
                status == HTTP_OK ? edge.protocol().readCopyName(body) : Optional.empty();
        if (handle == null || name.isEmpty()) {
            LogEvent.info(LOG, "stream.copied")
                    .with("request", requestId)
                    .with("from", source.record().id())
                    .with("to", target.record().id())
                    .with("status", status)
                    .write();
        }
        name.ifPresent(copyName -> handle = copyName);
        nextCopy = edge.loop().after(COPY_INTERVAL_MILLIS, this::copy);
    }

    private void send(KvCacheRequest kvRequest, Consumer<CopyResponse> onDone) {
        EndpointRequest request =
                new EndpointRequest(
                        kvRequest.method(),
                        kvRequest.target(),
                        kvRequest.headers(),
                        kvRequest.body());
        CopyResponse response = new CopyResponse(onDone);
        response.attempt = Attempt.ofOrder(source, request, requestId, response);
        edge.pool().send(response.attempt);
    }

    /** Collects the response to a copy request. */
    private static final class CopyResponse implements AttemptListener {
        private final Consumer<CopyResponse> onDone;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Attempt attempt;
        private int status;

        CopyResponse(Consumer<CopyResponse> onDone) {
            this.onDone = onDone;
        }

        @Override
        public void onConnectFailure(String cause) {
            onDone.accept(this);
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void onBody(byte[] bytes) {
            if (body.size() + bytes.length > MAX_RESPONSE_BYTES) {
                attempt.cancel();
                onFailure("response exceeds the size limit");
                return;
            }
            body.writeBytes(bytes);
        }

        @Override
        public void onComplete() {
            onDone.accept(this);
        }

        @Override
        public void onFailure(String cause) {
            status = 0;
            onDone.accept(this);
        }
    }
}
