package io.siskintrail.edge.internal;

import io.siskintrail.edge.CopySource;
import io.siskintrail.edge.EndpointResponse;
import io.siskintrail.internal.traffic.configuration.EngineSpec;
import io.siskintrail.internal.traffic.configuration.ServiceSpec;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.placement.PrefilledPrompt;
import io.siskintrail.internal.traffic.stream.SilenceRule;
import io.siskintrail.internal.traffic.stream.StreamAttempts;
import io.siskintrail.internal.traffic.stream.StreamEvent;
import io.siskintrail.internal.traffic.stream.StreamJournal;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Exchange of an event stream from an engine. When its engine is lost, the stream resumes at
 * another one after the last event that the client received, from a KV cache copy if there is one.
 */
final class StreamExchange extends Exchange {
    /** Delay before a stream that lost or doubts its engine searches for another one again. */
    private static final long SEARCH_DELAY_MILLIS = 50;

    /**
     * Time after which a stream that stays at a silent engine may go on there through a new
     * connection: longer than a sound engine pauses, so that only the connection can be at fault.
     */
    private static final long MAX_PAUSE_MILLIS = 2_000;

    /** Retry-After when no engine is known or reachable. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;

    private final EngineSpec engine;
    private final long tokens;
    private final SilenceRule silenceRule;
    private final StreamJournal journal;
    private final StreamResponse response;
    private final StreamKvCacheCopies copies;
    private final EngineSelection selection;
    private final StreamAdmission admission;
    private final Set<EndpointId> failedEngines = new HashSet<>();
    private final StreamAttempts attempts;
    private StreamAttempt attempt;
    private boolean answered;
    private boolean searchScheduled;

    /** Why the running attempt would be given up if another could follow; null if it is not. */
    private String doubt;

    private long doubtedAtMillis;
    private long lostAtMillis;

    StreamExchange(
            EdgeContext edge, CallContext call, ClientResponse client, Consumer<Exchange> onEnd) {
        super(edge, call, client, onEnd);
        ServiceSpec spec = call.table().service(service);
        engine = spec == null ? null : spec.engine();
        tokens = (long) call.metadata().promptTokens() + call.metadata().outputTokens();
        edge.retryBudgets().addPooled(service);
        silenceRule = new SilenceRule(call.route().targetGapMillis());
        attempts = new StreamAttempts(call.route());
        response = new StreamResponse(edge, call, client);
        journal = new StreamJournal(call.metadata().lastEventId());
        selection = new EngineSelection(edge, call, service, engine, tokens);
        copies = new StreamKvCacheCopies(edge, call, service, engine, tokens, selection);
        admission = new StreamAdmission(edge, call, this, attempts, selection, engine, tokens);
    }

    @Override
    protected void placeOrQueue() {
        if (admission.isShared()) {
            admission.enterAsNew();
        } else if (!tryPlace()) {
            enqueue(admission.maxWaitMillis());
        }
    }

    @Override
    protected boolean mayHaveArrived() {
        return attempts.sent() > 0;
    }

    @Override
    protected boolean hasResponseStarted() {
        return response.isStarted();
    }

    @Override
    protected boolean isAnswered() {
        return answered;
    }

    @Override
    protected void endRefused() {
        if (response.isStarted() || mayHaveExecuted()) {
            fail(CRASHED_ENDPOINTS);
        } else {
            rejectRefused();
        }
    }

    @Override
    protected void releaseResources() {
        leaveQueue();
        admission.leave();
        copies.stop(true);
        if (attempt != null) {
            StreamAttempt lastAttempt = attempt;
            attempt = null;
            lastAttempt.stop();
            releaseCapacity();
        }
    }

    @Override
    protected void handleTimeout() {
        if (hasEnded()) {
            return;
        }
        if (response.isStarted()) {
            abortStream("deadline exceeded");
        } else if (mayHaveExecuted()) {
            reject(ResultCode.CALL_TIMED_OUT, "attempts=%d".formatted(attempts.sent()), 0);
        } else {
            handleLate("timed out waiting for capacity", UNAVAILABLE_RETRY_MILLIS);
        }
    }

    @Override
    protected void handleLate(String detail, long retryAfterMillis) {
        if (response.isStarted() || mayHaveExecuted()) {
            fail(detail);
        } else {
            super.handleLate(detail, retryAfterMillis);
        }
    }

    @Override
    protected boolean tryPlace() {
        EndpointView copy = copies.usableHolder();
        EndpointView target = copy != null ? copy : chooseEngine();
        if (target == null) {
            return false;
        }
        if (attempts.isWritten() && !tryTakeRetry()) {
            admission.leave();
            waitForRetry();
            return true;
        }
        leaveQueue();
        admission.leave();
        send(target, copy);
        return true;
    }

    /**
     * Checks whether the engine is still alive.
     *
     * @param nowMillis the current monotonic time in milliseconds
     * @return when to check again, in monotonic milliseconds
     */
    long checkSilence(long nowMillis) {
        if (attempt == null) {
            return StreamMonitor.NEVER;
        }
        if (doubt != null) {
            moveOrStay(attempt, doubt);
            return nextCheckAtMillis(nowMillis);
        }
        switch (attempt.checkSilence(nowMillis).verdict()) {
            case PROBE -> probe(attempt);
            case ENGINE_SILENT ->
                    edge.handleUnreachableEngine(
                            attempt.engine(), "engine sends nothing on any stream");
            case STREAM_SILENT -> moveOrStay(attempt, "stream silent");
            default -> {}
        }
        return nextCheckAtMillis(nowMillis);
    }

    /** Returns whether the stream has an engine, or lost one and is to go on. */
    boolean isUnderWay() {
        return attempt != null || attempts.mayHaveExecuted();
    }

    /** Resumes at another engine, if that is possible, a stream that runs at {@code lostEngine}. */
    void handleEngineLoss(EndpointView lostEngine, String cause) {
        if (attempt != null && attempt.engine() == lostEngine && !attempt.hasEnded()) {
            moveOrStay(attempt, cause);
        }
    }

    /** Starts another copy if the copy of the stream was at {@code lostEngine}. */
    void replaceLostCopy(EndpointView lostEngine) {
        if (attempt != null) {
            copies.replaceLost(attempt, lostEngine, journal.lastId());
        }
    }

    /** Processes an event of an attempt. */
    void handleEvent(StreamAttempt source, StreamEvent event) {
        if (source != attempt) {
            return;
        }
        doubt = null;
        attempts.recordTakenOver();
        if (event.id() >= 0) {
            StreamJournal.Verdict verdict = journal.acceptEvent(event.id());
            if (verdict == StreamJournal.Verdict.REPEATED) {
                return;
            }
            if (verdict == StreamJournal.Verdict.GAP) {
                abandonAttempt(source, "gap before event %d".formatted(event.id()));
                return;
            }
        }
        if (lostAtMillis > 0) {
            long pauseMillis = EventLoop.nowMillis() - lostAtMillis;
            lostAtMillis = 0;
            logAttempt(
                    "stream.resumed",
                    source.engine(),
                    "pause_ms=%d event=%d attempt=%d"
                            .formatted(pauseMillis, event.id(), attempts.sent()));
            edge.stats()
                    .recordLatency(
                            "siskintrail_edge_resume_millis",
                            "rank=\"%d\"".formatted(call.rank()),
                            pauseMillis);
        }
        response.add(source, event);
    }

    /**
     * Sends the events of one read, after its last one. Lets the engine wait if the client does not
     * take what was sent.
     */
    void sendEvents(StreamAttempt source) {
        boolean isWritable = response.flush();
        if (source == attempt) {
            source.setReading(isWritable);
        }
    }

    @Override
    void handleClientWritable() {
        if (attempt != null) {
            attempt.setReading(true);
        }
    }

    /** Processes the end of a complete response. */
    void handleCompletion(StreamAttempt source) {
        if (source != attempt) {
            return;
        }
        attempt = null;
        copies.stop(true);
        releaseCapacity();
        EndpointResponse endpointResponse = source.endpointResponse();
        if (endpointResponse.isSuccess() && endpointResponse.signed()) {
            source.engine()
                    .health()
                    .recordSuccess(EventLoop.nowMillis(), (long) source.expectedMillis());
            edge.stopPlan().recordStreamDuration(EventLoop.nowMillis() - call.arrivedAtMillis());
            response.start(source);
            end(
                    "answered",
                    0,
                    "attempts=%d last=%d connection=%s %s"
                            .formatted(
                                    attempts.sent(),
                                    journal.lastId(),
                                    source.describeConnection(),
                                    response.describeTimes()));
            response.end();
            return;
        }
        handleErrorResponse(source, endpointResponse);
    }

    /** Processes the end of an attempt whose response is incomplete. */
    void handleFailure(StreamAttempt source, String cause) {
        if (source != attempt) {
            return;
        }
        edge.recordBrokenStream(source.engine());
        edge.crashes().recordFailure(source.evidence());
        failedEngines.add(source.engine().record().id());
        resume(source, cause);
    }

    /** Processes a failed connection attempt. */
    void handleConnectFailure(StreamAttempt source, String cause) {
        if (source != attempt) {
            return;
        }
        failedEngines.add(source.engine().record().id());
        returnRetry();
        edge.handleConnectFailure(source.engine(), cause);
        if (attempt == source) {
            resume(source, "not connected: " + cause);
        }
    }

    /** Records that an engine has begun to answer, as its first event shows. */
    void recordAnswered() {
        if (!answered) {
            answered = true;
            edge.crashes().recordAnswered(call);
        }
    }

    /** Records that an engine has prefilled the prompt, as its first event shows. */
    void recordPromptPrefilled(EndpointView prefillingEngine) {
        if (call.metadata().prompt() != null) {
            edge.loadExchange()
                    .recordPromptPrefilled(
                            new PrefilledPrompt(
                                    call.metadata().prompt(), prefillingEngine.record().id()));
        }
    }

    /** Schedules a check for when the silence of the engine can first be significant. */
    void scheduleSilenceCheck() {
        edge.monitor().scheduleCheck(nextCheckAtMillis(EventLoop.nowMillis()));
    }

    private EndpointView chooseEngine() {
        return chooseEngine(null);
    }

    /**
     * Returns an engine for the next attempt other than {@code excluded}, null if there is none.
     */
    private EndpointView chooseEngine(EndpointView excluded) {
        return selection.choose(
                excluded, failedEngines, admission.placementTokens(), admission.maxPrefillMillis());
    }

    /**
     * Sends the request.
     *
     * @param heldCopy the engine that holds a copy from an earlier attempt, which is {@code
     *     target}; null if there is none
     */
    private void send(EndpointView target, EndpointView heldCopy) {
        EngineSelection.ExpectedPrefill expected = selection.expect(target, heldCopy != null);
        EndpointView copy = copies.chooseHolder(target, journal.lastId());
        String copyAddress = copy == null ? null : copy.record().address();
        CopySource resumeFrom = heldCopy == null ? null : copies.use();
        EndpointRequest request =
                buildForwardedRequest(
                        target,
                        journal.lastId(),
                        copyAddress,
                        resumeFrom,
                        response.weightVersion());
        attempts.recordSent();
        doubt = null;
        logAttempt(
                "stream.sent",
                target,
                "attempt=%d after=%d prompt=%s copy=%s resume=%s expected_ms=%.0f"
                        .formatted(
                                attempts.sent(),
                                journal.lastId(),
                                call.metadata().prompt(),
                                copyAddress,
                                resumeFrom,
                                expected.firstEventMillis()));
        attempt =
                new StreamAttempt(
                        edge, this, target, copy, request, call, tokens, expected, silenceRule);
        attempt.start();
        scheduleSilenceCheck();
    }

    private void handleErrorResponse(StreamAttempt source, EndpointResponse endpointResponse) {
        String cause =
                "status=%d signed=%s not_run=%s"
                        .formatted(
                                endpointResponse.status(),
                                endpointResponse.signed(),
                                endpointResponse.notRun());
        if (endpointResponse.notRun() && copies.isHeldBy(source.engine())) {
            // The copy was missing; the engine itself may be healthy.
            copies.discard();
            resume(source, "no copy: " + cause);
            return;
        }
        if (endpointResponse.notRun()) {
            selection.recordNotRun(source.engine());
        }
        failedEngines.add(source.engine().record().id());
        edge.recordDiverted(endpointResponse);
        if (!endpointResponse.pushesBack()) {
            source.engine().health().recordFailure(EventLoop.nowMillis());
        }
        boolean isFinalError =
                endpointResponse.signed()
                        && !endpointResponse.notRun()
                        && !endpointResponse.isServerError();
        if (isFinalError && !response.isStarted()) {
            end("answered", 0, cause);
            client.sendResponse(endpointResponse.status(), source.headers(), source.errorBody());
            return;
        }
        resume(source, cause);
    }

    /**
     * Gives up an attempt whose engine seems lost, if the stream can go on elsewhere now. Otherwise
     * the attempt stays, since its engine may still finish the answer.
     */
    private void moveOrStay(StreamAttempt source, String cause) {
        if (doubt == null) {
            doubtedAtMillis = EventLoop.nowMillis();
        }
        if (canMove(source)) {
            attempts.recordGivenUp();
            abandonAttempt(source, cause);
            return;
        }
        if (doubt == null) {
            doubt = cause;
            logAttempt("stream.stays", source.engine(), cause);
            edge.stats().increment("siskintrail_edge_streams_stayed_total", "");
        }
    }

    private boolean canMove(StreamAttempt source) {
        if (!attempts.hasLeftAfterGivingUp(source.mayHaveExecuted())
                || edge.crashes().refuses(call)
                || (attempts.isWritten() || source.isWritten()) && !hasRetryLeft()) {
            return false;
        }
        copies.recordCopyOf(source);
        if (copies.usableHolder() != null) {
            return true;
        }
        if (admission.isShared() && !admission.isTurnOfResumption()) {
            return false;
        }
        boolean isPauseOver = EventLoop.nowMillis() - doubtedAtMillis >= MAX_PAUSE_MILLIS;
        if (chooseEngine(isPauseOver ? null : source.engine()) != null) {
            return true;
        }
        failedEngines.clear();
        return false;
    }

    private void abandonAttempt(StreamAttempt source, String cause) {
        failedEngines.add(source.engine().record().id());
        source.engine().health().recordFailure(EventLoop.nowMillis());
        source.stop();
        resume(source, cause);
    }

    /** Resumes at another engine, preferably the one that holds a copy. */
    private void resume(StreamAttempt source, String cause) {
        attempt = null;
        releaseCapacity();
        if (lostAtMillis == 0) {
            lostAtMillis = EventLoop.nowMillis();
        }
        String connection = " connection=" + source.describeConnection();
        logAttempt("stream.lost", source.engine(), cause + connection);
        attempts.recordLost(source.isWritten(), source.mayHaveExecuted(), source.hasEvents());
        if (source.mayHaveExecuted()) {
            copies.recordCopyOf(source);
        }
        copies.hold();
        if (!attempts.mayResume()) {
            fail("route does not allow resuming");
        } else if (attempts.backoffMillis() > 0) {
            after(attempts.backoffMillis(), this::sendNextAttempt);
        } else {
            sendNextAttempt();
        }
    }

    private void sendNextAttempt() {
        searchScheduled = false;
        if (hasEnded() || attempt != null) {
            return;
        }
        if (edge.crashes().refuses(call)) {
            endRefused();
            return;
        }
        if (!attempts.hasLeft()) {
            fail("no attempts left");
            return;
        }
        if (admission.isShared() && copies.usableHolder() == null) {
            boolean isResumption = response.isStarted() || mayHaveExecuted();
            admission.enterAgain(isResumption, response.isStarted(), lostAtMillis);
            if (attempt == null) {
                failedEngines.clear();
            }
        } else if (!tryPlace()
                && (response.isStarted()
                        || mayHaveExecuted()
                        || !rejectIfPushedBack(admission.queueMillisLeft()))) {
            scheduleSearch();
        }
    }

    /** Waits for a retry if the stream left an engine that may have finished it, else ends it. */
    private void waitForRetry() {
        if (attempts.hasGivenUp() || edge.retryBudgets().isWorthWaiting(lostAtMillis)) {
            scheduleSearch();
        } else {
            fail("retry budget exhausted");
        }
    }

    /** Schedules another search for an engine; engines that failed may be tried again then. */
    private void scheduleSearch() {
        if (!searchScheduled) {
            searchScheduled = true;
            failedEngines.clear();
            after(SEARCH_DELAY_MILLIS, this::sendNextAttempt);
        }
    }

    private boolean mayHaveExecuted() {
        return attempts.mayHaveExecuted() || attempt != null && attempt.mayHaveExecuted();
    }

    private void fail(String detail) {
        if (response.isStarted()) {
            abortStream(detail);
        } else if (mayHaveExecuted()) {
            reject(ResultCode.ATTEMPTS_EXHAUSTED, detail, 0);
        } else {
            reject(ResultCode.NOT_RUN_UNREACHABLE, detail, UNAVAILABLE_RETRY_MILLIS);
        }
    }

    private void abortStream(String detail) {
        releaseResources();
        end("broken-off", ResultCode.ATTEMPTS_EXHAUSTED.number(), detail);
        response.abort();
    }

    private long nextCheckAtMillis(long nowMillis) {
        if (attempt == null) {
            return StreamMonitor.NEVER;
        }
        long delayMillis =
                doubt == null
                        ? attempt.checkSilence(nowMillis).nextCheckMillis()
                        : SEARCH_DELAY_MILLIS;
        return nowMillis + delayMillis;
    }

    private void probe(StreamAttempt probed) {
        probed.probe(
                () -> {
                    if (probed == attempt) {
                        edge.handleUnreachableEngine(probed.engine(), "probe failed");
                    }
                });
    }

    private void releaseCapacity() {
        edge.queues().releaseOne(service);
        edge.sharedQueues().recordEnd(service);
    }
}
