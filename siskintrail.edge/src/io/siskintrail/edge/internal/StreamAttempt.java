package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.siskintrail.edge.EndpointResponse;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.stream.EventSplitter;
import io.siskintrail.internal.traffic.stream.SilenceRule;
import io.siskintrail.internal.traffic.stream.SilenceTracker;
import io.siskintrail.internal.traffic.stream.StreamEvent;
import io.siskintrail.net.EventLoop;

/**
 * One attempt of a stream at an engine. Accounts for the load that the attempt puts on the engine
 * and on the engine that holds its copy.
 */
final class StreamAttempt implements AttemptListener {
    private static final int MAX_EVENT_BYTES = 256 << 10;
    private static final int MAX_ERROR_BYTES = 1 << 20;

    private final EdgeContext edge;
    private final StreamExchange exchange;
    private final EndpointView engine;
    private final EndpointView copyHolder;
    private final CallContext call;
    private final long tokens;
    private final EngineSelection.ExpectedPrefill expected;
    private final Attempt attempt;
    private final RunningAttempt evidence;
    private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);
    private final ResponseBuffer errorBuffer;
    private final long sentAtMillis = EventLoop.nowMillis();
    private final SilenceTracker silence;
    private final long remotePrefillAtSend;
    private boolean ended;
    private boolean complete;
    private EndpointResponse endpointResponse;
    private HttpHeaders headers;

    /**
     * Creates an attempt without sending it.
     *
     * @param call the request of the client
     * @param copyHolder the engine that stores a copy of the KV cache; null for none
     * @param tokens the KV cache size of the request on each engine, in tokens
     * @param expected the expected times of the prefill and to the first event
     * @param silenceRule distinguishes a slow engine from a lost one
     */
    StreamAttempt(
            EdgeContext edge,
            StreamExchange exchange,
            EndpointView engine,
            EndpointView copyHolder,
            EndpointRequest request,
            CallContext call,
            long tokens,
            EngineSelection.ExpectedPrefill expected,
            SilenceRule silenceRule) {
        this.edge = edge;
        this.errorBuffer = new ResponseBuffer(edge.responseMemory(), MAX_ERROR_BYTES);
        this.exchange = exchange;
        this.engine = engine;
        this.copyHolder = copyHolder;
        this.call = call;
        this.tokens = tokens;
        this.expected = expected;
        this.silence = new SilenceTracker(silenceRule, sentAtMillis, expected.firstEventMillis());
        this.remotePrefillAtSend = engine.remotePrefillMillis(sentAtMillis);
        this.attempt = new Attempt(engine, request, call.requestId(), this);
        this.evidence = new RunningAttempt(attempt, call);
    }

    /** Sends the request. */
    void start() {
        engine.beginRequest(tokens);
        engine.beginPrefill(sentAtMillis, expected.prefillMillis());
        edge.loadExchange().recordChange(engine);
        edge.crashes().recordSent(evidence);
        if (copyHolder != null) {
            copyHolder.beginCopy(tokens);
            edge.loadExchange().recordChange(copyHolder);
        }
        edge.pool().send(attempt);
    }

    /** Cancels the attempt; the engine sees a closed connection. */
    void stop() {
        if (!ended) {
            attempt.cancel();
            releaseLoad();
        }
    }

    /** Reads events, or lets the engine wait while the client does not take what was read. */
    void setReading(boolean reading) {
        if (reading == silence.isReading()) {
            return;
        }
        silence.setReading(EventLoop.nowMillis(), reading);
        attempt.setReading(reading);
    }

    /** Returns whether the attempt was stopped, or failed or completed by itself. */
    boolean hasEnded() {
        return ended;
    }

    EndpointView engine() {
        return engine;
    }

    /** Returns the engine that stores a copy of the KV cache; null for none. */
    EndpointView copyHolder() {
        return copyHolder;
    }

    /** Returns whether any byte may have reached the engine. */
    boolean isWritten() {
        return attempt.isWritten();
    }

    /** Returns whether the engine may have run the request, as far as its complete answer tells. */
    boolean mayHaveExecuted() {
        return attempt.isWritten() && !isRefused();
    }

    /** Returns whether the engine reported, in a complete response, that it did not run this. */
    boolean isRefused() {
        return complete && endpointResponse.notRun();
    }

    /** Returns the connection to the engine, for the log. */
    String describeConnection() {
        return attempt.describeConnection();
    }

    boolean hasEvents() {
        return silence.hasEvents();
    }

    /** Returns what the attempt proves if the engine crashes. */
    RunningAttempt evidence() {
        return evidence;
    }

    double expectedMillis() {
        return expected.firstEventMillis();
    }

    /** Returns the verdict whether the engine is still alive. */
    SilenceRule.Look checkSilence(long nowMillis) {
        if (!hasEvents()) {
            long foreseen = Math.max(0, remotePrefillAtSend - (nowMillis - sentAtMillis));
            silence.recordUnforeseenPrefill(engine.remotePrefillMillis(nowMillis) - foreseen);
        }
        return silence.check(nowMillis, engine.health().lastActivityAt());
    }

    /** Probes the engine; calls {@code unreachable} if it cannot be reached. */
    void probe(Runnable unreachable) {
        silence.recordProbeSent(EventLoop.nowMillis());
        edge.pool()
                .probe(
                        engine.record().address(),
                        reached -> {
                            if (reached) {
                                silence.recordProbeAnswer(EventLoop.nowMillis());
                            } else {
                                unreachable.run();
                            }
                        });
    }

    EndpointResponse endpointResponse() {
        return endpointResponse;
    }

    HttpHeaders headers() {
        return headers;
    }

    /** Returns the body of a response that is not an event stream. */
    byte[] errorBody() {
        return errorBuffer.toByteArray();
    }

    @Override
    public void onConnectFailure(String cause) {
        exchange.guard(
                () -> {
                    releaseLoad();
                    exchange.handleConnectFailure(this, cause);
                });
    }

    @Override
    public void onHead(HttpResponse response) {
        endpointResponse = edge.protocol().readResponse(response);
        headers = HopByHopHeaders.strip(response.headers());
        if (endpointResponse.notRun()) {
            evidence.markAnswered();
        }
        engine.health().recordActivity(EventLoop.nowMillis());
        edge.recordSignals(engine, endpointResponse, call.requestId());
    }

    @Override
    public void onBody(byte[] bytes) {
        engine.health().recordActivity(EventLoop.nowMillis());
        if (!endpointResponse.isSuccess() || !endpointResponse.signed()) {
            bufferErrorBody(bytes);
            return;
        }
        for (StreamEvent event : splitter.add(bytes)) {
            if (ended) {
                break;
            }
            if (silence.recordEvent(EventLoop.nowMillis())) {
                handleFirstEvent();
            }
            exchange.handleEvent(this, event);
        }
        exchange.sendEvents(this);
        if (splitter.isMalformed() && !ended) {
            attempt.cancel();
            onFailure("malformed event");
        }
    }

    @Override
    public void onComplete() {
        exchange.guard(this::handleEnd);
    }

    private void handleEnd() {
        complete = true;
        evidence.markAnswered();
        releaseLoad();
        if (endpointResponse.isSuccess() && endpointResponse.signed() && splitter.isInsideEvent()) {
            exchange.handleFailure(this, "response ended inside an event");
            return;
        }
        exchange.handleCompletion(this);
    }

    @Override
    public void onFailure(String cause) {
        exchange.guard(
                () -> {
                    releaseLoad();
                    exchange.handleFailure(this, cause);
                });
    }

    private void bufferErrorBody(byte[] bytes) {
        if (!errorBuffer.tryAdd(bytes)) {
            attempt.cancel();
            onFailure("error response exceeds the size limit");
        }
    }

    private void handleFirstEvent() {
        evidence.markAnswered();
        exchange.recordAnswered();
        long now = EventLoop.nowMillis();
        engine.endPrefill(now, expected.prefillMillis());
        edge.loadExchange().recordChange(engine);
        exchange.recordPromptPrefilled(engine);
        exchange.scheduleSilenceCheck();
        edge.loadExchange()
                .speeds()
                .of(engine.record().service())
                .recordFirstEvent(
                        now,
                        engine.record().id(),
                        expected.unreadTokens(),
                        expected.aheadTokens(),
                        expected.decoding(),
                        now - sentAtMillis);
    }

    private void releaseLoad() {
        ended = true;
        errorBuffer.release();
        engine.endRequest(tokens);
        if (!hasEvents()) {
            engine.endPrefill(EventLoop.nowMillis(), expected.prefillMillis());
        }
        edge.loadExchange().recordChange(engine);
        edge.crashes().recordEnded(evidence);
        if (copyHolder != null) {
            copyHolder.endCopy(tokens);
            edge.loadExchange().recordChange(copyHolder);
        }
    }
}
