package io.siskintrail.internal.generation;

import io.siskintrail.lib.ResultCode;
import java.util.List;
import java.util.Set;

/** A caller that reconnects with its last position, and checks all that it is given. */
final class PathCaller {
    private static final int RECONNECT_MILLIS = 30;
    private static final Set<ResultCode> LOSSES =
            Set.of(ResultCode.POSITION_LOST, ResultCode.GENERATION_LOST);

    private final PathWorld world;
    private final String key;
    private final String body;
    private final List<Long> roots;
    private PathWorld.Router router;
    private int routerIncarnation;
    private GenerationSpec spec;
    private long connection = -1;
    private Position position;
    private Long prefix;
    private Outcome outcome;

    PathCaller(PathWorld world, String key, String body) {
        this.world = world;
        this.key = key;
        this.body = body;
        Fingerprint fingerprint = world.newSpec(key, body).fingerprint();
        roots =
                List.of(
                        CallerOracle.root(fingerprint, PathWorld.V1),
                        CallerOracle.root(fingerprint, PathWorld.V2));
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

    /** Connects to any router; tries again later when none is up. */
    void connect() {
        if (isDone()) {
            return;
        }
        router = world.anyRouter();
        if (router == null) {
            world.at(RECONNECT_MILLIS, this::connect);
            return;
        }
        routerIncarnation = router.incarnation;
        connection = world.callers.size();
        world.callers.add(this);
        spec = world.newSpec(key, body);
        router.input(
                routerIncarnation, new GenerationInput.Attach(connection, spec, position, true));
    }

    /** Breaks the connection and connects again. */
    void reconnect() {
        if (isDone() || connection < 0) {
            return;
        }
        router.input(routerIncarnation, new GenerationInput.Detach(connection));
        connection = -1;
        world.at(RECONNECT_MILLIS, this::connect);
    }

    void reconnectFrom(PathWorld.Router other) {
        if (router == other) {
            reconnect();
        }
    }

    void onRouterGone(PathWorld.Router gone) {
        if (router == gone && connection >= 0 && !isDone()) {
            connection = -1;
            world.at(RECONNECT_MILLIS, this::connect);
        }
    }

    void onDeliver(PathWorld.Router from, GenerationEffect.Deliver e) {
        if (from != router || e.caller() != connection) {
            return;
        }
        if (isDone()) {
            throw new CallerOracle.Violation(this + ": tokens after the end");
        }
        int had = position == null ? 0 : position.offset();
        if (e.after().offset() != had + e.run().size()) {
            throw new CallerOracle.Violation(this + ": offset " + e.after() + " after " + had);
        }
        prefix = world.oracle.follow(roots, prefix, e.run(), toString());
        position = e.after();
        if (!position.equals(Position.parse(position.toEventId()))) {
            throw new CallerOracle.Violation(this + ": event id " + position.toEventId());
        }
    }

    void onFinish(PathWorld.Router from, GenerationEffect.Finish e) {
        if (from != router || e.caller() != connection) {
            return;
        }
        if (isDone()) {
            throw new CallerOracle.Violation(this + ": a second end");
        }
        if (CallerOracle.asksToReconnect(e.outcome().code())) {
            connection = -1;
            world.at(RECONNECT_MILLIS, this::connect);
            return;
        }
        outcome = e.outcome();
        world.outcomes.merge(outcome.code(), 1, Integer::sum);
        checkTruth();
    }

    void requireEnd() {
        if (!isDone()) {
            throw new CallerOracle.Violation(this + ": never reached an end at " + router);
        }
    }

    /** Returns whether the rest of the answer was lost although the caller had a part. */
    boolean lostItsAnswer() {
        return isDone() && LOSSES.contains(outcome.code());
    }

    private boolean keyIsReused() {
        return world.callers.stream().anyMatch(c -> c.key.equals(key) && !c.body.equals(body));
    }

    private void checkTruth() {
        ResultCode code = outcome.code();
        if (code == ResultCode.OK) {
            world.oracle.checkEnd(roots, prefix, toString());
        } else if (code == ResultCode.KEY_REUSED && !keyIsReused()) {
            throw new CallerOracle.Violation(this + ": the key was not reused");
        } else if (code == ResultCode.NOT_RUN_SHUTTING_DOWN
                && (position != null || world.started.contains(spec.id()))) {
            throw new CallerOracle.Violation(this + ": told not run, but it ran");
        } else if (code == ResultCode.INTERNAL) {
            throw new CallerOracle.Violation(this + ": internal error");
        }
    }

    @Override
    public String toString() {
        return "caller of " + key + " at " + position;
    }
}
