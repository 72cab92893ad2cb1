package io.siskintrail.router.internal.policy;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Histograms of queue wait, first token and token gap, and counters of refusals, each by client
 * account and rank. At most {@link #MAX_ACCOUNTS} accounts get labels of their own; the rest share
 * one. Safe for use by several threads.
 */
public final class PolicyMeters {
    static final int MAX_ACCOUNTS = 64;
    private static final String OTHER = "other";
    private static final Duration[] BOUNDS = {
        Duration.ofMillis(5),
        Duration.ofMillis(25),
        Duration.ofMillis(71),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofMillis(1_100),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(15),
        Duration.ofSeconds(60)
    };

    private final CompositeMeterRegistry registry = new CompositeMeterRegistry();
    private final Set<AccountId> labelled = ConcurrentHashMap.newKeySet();
    private final Map<Key, Timer> timers = new ConcurrentHashMap<>();

    private record Key(String name, String account, Rank rank) {}

    /** Publishes everything in {@code target} from now on. */
    public void publishIn(MeterRegistry target) {
        registry.add(target);
    }

    /** Notes how long a request waited for its slot. */
    public void queueWait(AccountId account, Rank rank, long millis) {
        timer("siskintrail.queue.wait", account, rank).record(Duration.ofMillis(millis));
    }

    /** Notes how long a request waited for its first token. */
    public void firstToken(AccountId account, Rank rank, long millis) {
        timer("siskintrail.first.token", account, rank).record(Duration.ofMillis(millis));
    }

    /** Notes the time between two chunks of tokens. */
    public void gap(AccountId account, Rank rank, long millis) {
        timer("siskintrail.token.gap", account, rank).record(Duration.ofMillis(millis));
    }

    /** Counts a refusal. */
    public void refused(AccountId account, Rank rank, ResultCode code) {
        Counter.builder("siskintrail.refused")
                .tags("account", label(account), "rank", text(rank))
                .tag("code", String.valueOf(code.number()))
                .register(registry)
                .increment();
    }

    /** Counts a suspension. */
    public void suspended(AccountId account, Rank rank) {
        Counter.builder("siskintrail.suspended")
                .tags("account", label(account), "rank", text(rank))
                .register(registry)
                .increment();
    }

    private Timer timer(String name, AccountId account, Rank rank) {
        return timers.computeIfAbsent(new Key(name, label(account), rank), this::register);
    }

    private Timer register(Key key) {
        return Timer.builder(key.name())
                .tags("account", key.account(), "rank", text(key.rank()))
                .serviceLevelObjectives(BOUNDS)
                .register(registry);
    }

    private String label(AccountId account) {
        if (labelled.contains(account)) {
            return account.value();
        }
        if (labelled.size() < MAX_ACCOUNTS) {
            labelled.add(account);
            return account.value();
        }
        return OTHER;
    }

    private static String text(Rank rank) {
        return rank.name().toLowerCase(Locale.ROOT);
    }
}
