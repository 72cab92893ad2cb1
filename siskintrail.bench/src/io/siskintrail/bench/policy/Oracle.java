package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.lib.StateMachine;
import java.util.List;

/** A router that sees the caches and queues of all engines as they are at this moment. */
final class Oracle implements StateMachine<PolicyInput, PolicyEffect> {
    private final World world;

    Oracle(World world) {
        this.world = world;
    }

    @Override
    public List<PolicyEffect> step(long now, PolicyInput input) {
        if (!(input instanceof PolicyInput.Submit s)) {
            return List.of();
        }
        Engine best = null;
        double least = Double.POSITIVE_INFINITY;
        for (Engine e : world.engines.values()) {
            double cost = cost(e, s.request().prefixHashes());
            if (cost < least) {
                least = cost;
                best = e;
            }
        }
        return List.of(new PolicyEffect.Start(s.request().ticket(), best.info.id()));
    }

    private static double cost(Engine e, long[] prefix) {
        int missing = prefix.length - e.cached(prefix);
        double share = (double) e.load() / e.info.slots();
        double full = share >= 1 ? 1_000 * share : 0;
        return missing * Engine.BLOCK_TOKENS / Engine.PREFILL_TOKENS_PER_MILLI + full + share;
    }
}
