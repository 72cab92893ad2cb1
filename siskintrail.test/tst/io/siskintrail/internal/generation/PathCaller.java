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
    private long connection = -1;
    private Position position;
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

    /** Connects to a random router; retries later when none is up. */
    void connect() {
        if (isDone()) {
            return;
        }
        router = simulation.anyRouter();
        if (router == null) {
            simulation.schedule(RECONNECT_DELAY_MILLIS, this::connect);
            return;
        }
        routerIncarnation = router.incarnation;
        connection = simulation.callers.size();
        simulation.callers.add(this);
        spec = simulation.newSpec(key, body);
        router.input(
                routerIncarnation, new GenerationInput.Attach(connection, spec, position, true));
    }

    /** Closes the connection and connects again after a delay. */
    void reconnect() {
        if (isDone() || connection < 0) {
            return;
        }
        router.input(routerIncarnation, new GenerationInput.Detach(connection));
        connection = -1;
        simulation.schedule(RECONNECT_DELAY_MILLIS, this::connect);
    }

    void reconnectFrom(PathSimulation.Router other) {
        if (router == other) {
            reconnect();
        }
    }

    void onRouterGone(PathSimulation.Router gone) {
        if (router == gone && connection >= 0 && !isDone()) {
            connection = -1;
            simulation.schedule(RECONNECT_DELAY_MILLIS, this::connect);
        }
    }

    void onDeliver(PathSimulation.Router from, GenerationEffect.Deliver e) {
        if (from != router || e.caller() != connection) {
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
                            + ", which does not follow from the run after offset "
                            + previousOffset);
        }
        receivedPrefix =
                simulation.oracle.follow(emptyPrefixes, receivedPrefix, e.run(), toString());
        position = e.after();
        if (!position.equals(Position.parse(position.toEventId()))) {
            throw new CallerOracle.Violation(
                    this + ": position does not match its parsed event id " + position.toEventId());
        }
    }

    void onFinish(PathSimulation.Router from, GenerationEffect.Finish e) {
        if (from != router || e.caller() != connection) {
            return;
        }
        if (isDone()) {
            throw new CallerOracle.Violation(this + ": received a second outcome");
        }
        if (CallerOracle.asksToReconnect(e.outcome().code())) {
            connection = -1;
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
