package io.siskintrail.internal.generation;

import java.util.List;
import java.util.function.Consumer;

/** One thing that can happen to the request path. */
enum PathAction {
    NEW_CALLER(w -> call(w, "k" + w.nextId(), null)),
    NEW_CALLERS(
            w -> {
                for (int i = 0; i < 4; i++) {
                    call(w, "k" + w.nextId(), null);
                }
            }),
    SECOND_CALLER(w -> repeat(w, false)),
    KEY_WITH_OTHER_BODY(w -> repeat(w, true)),
    RECONNECT(w -> pick(w, w.callers, PathCaller::reconnect)),
    KILL_ENGINE(w -> pick(w, w.engines, PathWorld.Engine::kill)),
    PAUSE_ENGINE(w -> pick(w, w.engines, e -> e.paused = true)),
    SLOW_ENGINE(w -> pick(w, w.engines, e -> e.gap = 200)),
    RESUME_ENGINES(w -> w.engines.forEach(PathWorld.Engine::resume)),
    REVIVE_ENGINES(w -> w.engines.forEach(PathWorld.Engine::heal)),
    RESET_STREAM(w -> pick(w, w.engines, PathWorld.Engine::resetOne)),
    CHUNK_FAULTS(w -> w.chunkFaults = true),
    NO_CHUNK_FAULTS(w -> w.chunkFaults = false),
    KILL_ROUTER(w -> pick(w, w.routers, PathWorld.Router::kill)),
    PAUSE_ROUTER(w -> pick(w, w.routers, r -> r.paused = true)),
    RESUME_ROUTERS(w -> w.routers.forEach(PathWorld.Router::resume)),
    RESTART_ROUTERS(w -> w.routers.forEach(PathWorld.Router::heal)),
    DRAIN_ROUTER(w -> pick(w, w.routers, PathWorld.Router::drain)),
    LOSE_MESSAGES(w -> w.lossPercent = 30),
    LOSE_ALMOST_ALL(w -> w.lossPercent = 95),
    REPEAT_MESSAGES(w -> w.repeatPercent = 30),
    DELAY_MESSAGES(w -> w.maxDelay = 200),
    CALM_NETWORK(
            w -> {
                w.lossPercent = 0;
                w.repeatPercent = 0;
                w.maxDelay = 3;
            }),
    WAIT(w -> w.advance(1_500));

    private final Consumer<PathWorld> effect;

    PathAction(Consumer<PathWorld> effect) {
        this.effect = effect;
    }

    void apply(PathWorld world) {
        effect.accept(world);
    }

    private static void call(PathWorld w, String key, String body) {
        String text = body == null ? "body of " + key : body;
        new PathCaller(w, key, text).connect();
    }

    private static void repeat(PathWorld w, boolean otherBody) {
        if (!w.callers.isEmpty()) {
            PathCaller first = w.callers.get(w.random().nextInt(w.callers.size()));
            String body = otherBody ? first.body() + "!" : first.body();
            new PathCaller(w, first.key(), body).connect();
        }
    }

    private static <T> void pick(PathWorld w, List<T> choice, Consumer<T> effect) {
        if (!choice.isEmpty()) {
            effect.accept(choice.get(w.random().nextInt(choice.size())));
        }
    }
}
