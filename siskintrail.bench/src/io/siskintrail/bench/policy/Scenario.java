package io.siskintrail.bench.policy;

import java.util.Locale;
import java.util.function.LongFunction;

/** The experiments by the names that the command line uses. */
public enum Scenario {
    /** Bulk work at 4 and 10 times capacity. */
    FLOOD_BULK(Floods::bulk),
    /** Urgent work at 4 and 10 times capacity. */
    FLOOD_URGENT(Floods::urgent),
    /** One account asks far more than all others. */
    BIG_CALLER(BigCaller::run),
    /** Callers who send again and again. */
    RETRY_STORM(RetryStorm::run),
    /** One engine, and the engines of a failure domain, are lost at once. */
    ENGINE_LOSS(Losses::engines),
    /** A router is lost. */
    ROUTER_LOSS(Losses::router),
    /** Routers do not hear of each other. */
    USAGE_EXCHANGE_PARTITION(Losses::partition),
    /** Prefix caches of the engines. */
    CACHE(CacheAffinity::run),
    /** A request that kills the engines that run it. */
    POISON(Poison::run);

    private final LongFunction<Table> run;

    Scenario(LongFunction<Table> run) {
        this.run = run;
    }

    /** Runs ours and the baselines with {@code seed}. */
    public Table run(long seed) {
        return run.apply(seed);
    }

    /** Returns the name on the command line. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the scenario with that name, or null. */
    public static Scenario of(String text) {
        for (Scenario s : values()) {
            if (s.text().equals(text)) {
                return s;
            }
        }
        return null;
    }
}
