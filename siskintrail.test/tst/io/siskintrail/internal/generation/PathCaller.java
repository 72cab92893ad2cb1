package io.siskintrail.internal.generation;

import io.siskintrail.lib.ResultCode;
import java.util.List;
import java.util.Set;

/** Caller that reconnects with its last position and checks everything that it receives. */
final class PathCaller {
    private static final int RECONNECT_DELAY_MILLIS = 30;
    private static final Set<ResultCode> LOSS_CODES =
            Set.of(ResultCode.POSITION_LOST, ResultCode.GENERATION_LOST);

    private final PathSimulation simulation;
    private final String key;
    private final String body;
    private final List<Long> emptyPrefixes;
    private PathSimulation.Router router;
    private int routerIncarnation;
    private GenerationSpec spec;

    /** Index in the list of callers of the simulation, -1 while not connected. */
    private long connectionId = -1;

    private Position position;

    /** Hash of the received tokens, null before the first one. */
    private Long receivedPrefix;

    private Outcome outcome;

    PathCaller(PathSimulation simulation, String key, String body) {
        this.simulation = simulation;
        this.key = key;
        this.body = body;
        Fingerprint fingerprint = simulation.newSpec(key, body).fingerprint();
        emptyPrefixes =
                List.of(
                        CallerOracle.emptyPrefix(fingerprint, PathSimulation.V1),
                        CallerOracle.emptyPrefix(fingerprint, PathSimulation.V2));
    }

    boolean isDone() {
        return outcome != null;
    }

    Outcome outcome() {
        return outcome;
    }

    String key() {
        return key;
    }

    String body() {
        return body;
    }

    /** Connects to a random router; retries later when every router is down or draining. */
    void connect() {
        if (isDone()) {
            return;
        }
        router = simulation.randomAvailableRouter();
        if (router == null) {
            simulation.schedule(RECONNECT_DELAY_MILLIS, this::connect);
            return;
        }
        routerIncarnation = router.incarnation;
        connectionId = simulation.callers.size();
        simulation.callers.add(this);
        spec = simulation.newSpec(key, body);
        router.input(
                routerIncarnation, new GenerationInput.Attach(connectionId, spec, position, true));
    }

    /** Closes the connection and connects again after a delay. */
    void reconnect() {
        if (isDone() || connectionId < 0) {
            return;
        }
        router.input(routerIncarnation, new GenerationInput.Detach(connectionId));
        connectionId = -1;
        simulation.schedule(RECONNECT_DELAY_MILLIS, this::connect);
    }

    /** Reconnects if the caller is connected to {@code expected}. */
    void reconnectIfConnectedTo(PathSimulation.Router expected) {
        if (router == expected) {
            reconnect();
        }
    }

    void onRouterKilled(PathSimulation.Router killed) {
        if (router == killed && connectionId >= 0 && !isDone()) {
            connectionId = -1;
            simulation.schedule(RECONNECT_DELAY_MILLIS, this::connect);
        }
    }

    void onDeliver(PathSimulation.Router from, GenerationEffect.Deliver e) {
        if (from != router || e.caller() != connectionId) {
            return;
        }
        if (isDone()) {
            throw new CallerOracle.Violation(this + ": received tokens after the outcome");
        }
        int previousOffset = position == null ? 0 : position.offset();
        if (e.after().offset() != previousOffset + e.run().size()) {
            throw new CallerOracle.Violation(
                    this
                            + ": received position "
                            + e.after()
                            + ", which does not match the length of the run received after offset "
                            + previousOffset);
        }
        receivedPrefix =
                simulation.oracle.verifyRun(emptyPrefixes, receivedPrefix, e.run(), toString());
        position = e.after();
        if (!position.equals(Position.parse(position.toEventId()))) {
            throw new CallerOracle.Violation(
                    this
                            + ": position changed when it was formatted and parsed as event id "
                            + position.toEventId());
        }
    }

    void onFinish(PathSimulation.Router from, GenerationEffect.Finish e) {
        if (from != router || e.caller() != connectionId) {
            return;
        }
        if (isDone()) {
            throw new CallerOracle.Violation(this + ": received a second outcome");
        }
        if (CallerOracle.asksToReconnect(e.outcome().code())) {
            connectionId = -1;
            simulation.schedule(RECONNECT_DELAY_MILLIS, this::connect);
            return;
        }
        outcome = e.outcome();
        simulation.outcomes.merge(outcome.code(), 1, Integer::sum);
        checkOutcome();
    }

    void requireOutcome() {
        if (!isDone()) {
            throw new CallerOracle.Violation(this + ": received no outcome from " + router);
        }
    }

    /** Returns whether the outcome says that the answer or the rest of it was lost. */
    boolean lostAnswer() {
        return isDone() && LOSS_CODES.contains(outcome.code());
    }

    private boolean isKeyReused() {
        return simulation.callers.stream().anyMatch(c -> c.key.equals(key) && !c.body.equals(body));
    }

    private void checkOutcome() {
        ResultCode code = outcome.code();
        if (code == ResultCode.OK) {
            simulation.oracle.checkEnd(emptyPrefixes, receivedPrefix, toString());
        } else if (code == ResultCode.KEY_REUSED && !isKeyReused()) {
            throw new CallerOracle.Violation(
                    this + ": received KEY_REUSED, but the key was not reused");
        } else if (code == ResultCode.NOT_RUN_SHUTTING_DOWN
                && (position != null || simulation.started.contains(spec.id()))) {
            throw new CallerOracle.Violation(
                    this + ": received NOT_RUN_SHUTTING_DOWN, but the request ran");
        } else if (code == ResultCode.INTERNAL) {
            throw new CallerOracle.Violation(this + ": received an internal error");
        }
    }

    @Override
    public String toString() {
        return "caller of " + key + " at " + position;
    }
}
