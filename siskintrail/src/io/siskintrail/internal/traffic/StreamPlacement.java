package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.Collection;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Chooses the engine for a long generation by memory first and then by the expected time to its
 * first event. Answers bursts of long prompts, which delay each other and everybody who runs beside
 * them: a prompt goes where the least is still to be read. Also chooses the engine that keeps a
 * copy of the memory, in another failure domain, so that the loss of a whole one costs no prompt
 * read. Keeps streams in their own failure domain unless that costs much: links between domains
 * lose packets at times, and their bytes are dear.
 */
public final class StreamPlacement {
    /** Share of the memory of an engine that is filled, so that nothing is preempted. */
    private static final double MEMORY_SHARE = 0.85;

    /** Time that each stream on an engine counts for, in milliseconds. */
    private static final double RUNNING_MILLIS = 60;

    /**
     * Time that a stream may lose by staying in its failure domain, in milliseconds: less than the
     * read of a prompt, so that a burst still spreads. Each event that is lost between domains
     * comes late, while a few more streams on an engine hardly slow it.
     */
    private static final double FOREIGN_DOMAIN_MILLIS = 600;

    /** Time that a share of failures of 1 counts for, in milliseconds. */
    private static final double FAILURE_MILLIS = 4_000;

    /** Time that an engine counts for that the registry hears nothing of, in milliseconds. */
    private static final double SILENT_MILLIS = 3_000;

    /** Spread of choices among engines that look alike, in milliseconds: hosts do not herd. */
    private static final double JITTER_MILLIS = 40;

    /** Tokens of memory that count like a millisecond when a copy is placed. */
    private static final double TOKENS_PER_MILLI = 20;

    private final FailureDomain home;
    private final DoubleSupplier random;

    /**
     * Places streams from hosts in {@code home}.
     *
     * @param random uniform numbers from 0 to 1, seeded by the owner
     */
    public StreamPlacement(FailureDomain home, DoubleSupplier random) {
        this.home = home;
        this.random = random;
    }

    /**
     * Returns the best engine with room for {@code tokens}, null when there is none.
     *
     * @param engine the figures of the engines; null when the service has none
     * @param maxPrefillMillis the longest time that prompts before this one may still take; a
     *     request that finds no such engine waits for one, so that a burst does not pile up on the
     *     first engine that comes back
     * @param readAt the engine that has read the prompt; null when none is known. It is chosen
     *     unless it is full, whatever it has to read for others: the prompt takes no further memory
     *     there
     * @param allowed false for engines that must not be used
     */
    public EndpointView choose(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec engine,
            long tokens,
            long maxPrefillMillis,
            EndpointId readAt,
            Predicate<EndpointView> allowed) {
        EndpointView best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (EndpointView e : endpoints) {
            PlacedLoad load = e.total(nowMillis);
            if (!usable(nowMillis, e) || !allowed.test(e)) {
                continue;
            }
            if (e.record().id().equals(readAt) && hasRoom(load, engine, 0)) {
                return e;
            }
            if (!hasRoom(load, engine, tokens)) {
                continue;
            }
            if (load.prefillMillis() > maxPrefillMillis) {
                continue;
            }
            boolean atHome = e.record().domain().equals(home);
            double cost = cost(nowMillis, e, load) + (atHome ? 0 : FOREIGN_DOMAIN_MILLIS);
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns the engine that is to keep a copy of what runs on {@code primary}, null when there is
     * none in another failure domain.
     */
    public EndpointView chooseCopy(
            long nowMillis,
            Collection<EndpointView> endpoints,
            EngineSpec engine,
            long tokens,
            EndpointView primary) {
        EndpointView best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (EndpointView e : endpoints) {
            PlacedLoad load = e.total(nowMillis);
            boolean apart = !e.record().domain().equals(primary.record().domain());
            if (!apart || !usable(nowMillis, e) || !hasRoom(load, engine, tokens)) {
                continue;
            }
            double cost = cost(nowMillis, e, load) + load.tokens() / TOKENS_PER_MILLI;
            if (cost < bestCost) {
                best = e;
                bestCost = cost;
            }
        }
        return best;
    }

    private static boolean usable(long nowMillis, EndpointView e) {
        EndpointState state = e.record().state();
        boolean alive = state == EndpointState.READY || state == EndpointState.SILENT;
        return alive && !e.health().isPaused(nowMillis);
    }

    private static boolean hasRoom(PlacedLoad load, EngineSpec engine, long tokens) {
        return engine == null
                || load.running() < engine.slots()
                        && load.tokens() + tokens <= MEMORY_SHARE * engine.memoryTokens();
    }

    private double cost(long nowMillis, EndpointView e, PlacedLoad load) {
        double cost = load.prefillMillis() + RUNNING_MILLIS * load.running();
        cost += FAILURE_MILLIS * e.health().failureShare(nowMillis);
        cost += JITTER_MILLIS * random.getAsDouble();
        boolean silent = e.record().state() == EndpointState.SILENT;
        return silent ? cost + SILENT_MILLIS : cost;
    }
}
