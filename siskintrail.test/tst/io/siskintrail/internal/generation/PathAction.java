package io.siskintrail.internal.generation;

import java.util.List;
import java.util.function.Consumer;

/** Workload or fault that the fuzz test applies to the simulation. */
enum PathAction {
    NEW_CALLER(simulation -> connectCaller(simulation, "k" + simulation.nextId(), null)),
    FOUR_NEW_CALLERS(
            simulation -> {
                for (int i = 0; i < 4; i++) {
                    connectCaller(simulation, "k" + simulation.nextId(), null);
                }
            }),
    DUPLICATE_REQUEST(simulation -> repeatRequest(simulation, false)),
    REUSE_KEY_WITH_OTHER_BODY(simulation -> repeatRequest(simulation, true)),
    RECONNECT(simulation -> applyToRandom(simulation, simulation.callers, PathCaller::reconnect)),
    KILL_ENGINE(
            simulation ->
                    applyToRandom(simulation, simulation.engines, PathSimulation.Engine::kill)),
    PAUSE_ENGINE(simulation -> applyToRandom(simulation, simulation.engines, e -> e.paused = true)),
    SLOW_ENGINE(
            simulation ->
                    applyToRandom(simulation, simulation.engines, e -> e.tokenGapMillis = 200)),
    RESUME_ENGINES(simulation -> simulation.engines.forEach(PathSimulation.Engine::resume)),
    RESTART_ENGINES(simulation -> simulation.engines.forEach(PathSimulation.Engine::recover)),
    RESET_STREAM(
            simulation ->
                    applyToRandom(
                            simulation,
                            simulation.engines,
                            PathSimulation.Engine::resetRandomStream)),
    CHUNK_FAULTS(simulation -> simulation.chunkFaults = true),
    NO_CHUNK_FAULTS(simulation -> simulation.chunkFaults = false),
    KILL_ROUTER(
            simulation ->
                    applyToRandom(simulation, simulation.routers, PathSimulation.Router::kill)),
    PAUSE_ROUTER(simulation -> applyToRandom(simulation, simulation.routers, r -> r.paused = true)),
    RESUME_ROUTERS(simulation -> simulation.routers.forEach(PathSimulation.Router::resume)),
    RESTART_ROUTERS(simulation -> simulation.routers.forEach(PathSimulation.Router::recover)),
    DRAIN_ROUTER(
            simulation ->
                    applyToRandom(simulation, simulation.routers, PathSimulation.Router::drain)),
    LOSE_MESSAGES(simulation -> simulation.lossPercent = 30),
    LOSE_MOST_MESSAGES(simulation -> simulation.lossPercent = 95),
    REPEAT_MESSAGES(simulation -> simulation.repeatPercent = 30),
    DELAY_MESSAGES(simulation -> simulation.maxDelayMillis = 200),
    RESTORE_NETWORK(
            simulation -> {
                simulation.lossPercent = 0;
                simulation.repeatPercent = 0;
                simulation.maxDelayMillis = 3;
            }),
    WAIT(simulation -> simulation.advance(1_500));

    private final Consumer<PathSimulation> effect;

    PathAction(Consumer<PathSimulation> effect) {
        this.effect = effect;
    }

    void apply(PathSimulation simulation) {
        effect.accept(simulation);
    }

    private static void connectCaller(PathSimulation simulation, String key, String body) {
        String text = body == null ? "body of " + key : body;
        new PathCaller(simulation, key, text).connect();
    }

    private static void repeatRequest(PathSimulation simulation, boolean otherBody) {
        if (!simulation.callers.isEmpty()) {
            PathCaller first =
                    simulation.callers.get(simulation.random().nextInt(simulation.callers.size()));
            String body = otherBody ? first.body() + "!" : first.body();
            new PathCaller(simulation, first.key(), body).connect();
        }
    }

    private static <T> void applyToRandom(
            PathSimulation simulation, List<T> candidates, Consumer<T> action) {
        if (!candidates.isEmpty()) {
            action.accept(candidates.get(simulation.random().nextInt(candidates.size())));
        }
    }
}
