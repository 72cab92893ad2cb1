package io.siskintrail.internal.rules;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The rules of a file, completed by defaults for what the file does not set. Immutable; each query
 * takes a few hash look-ups, independent of the number of rules.
 */
public final class Rules {
    /**
     * The fraction of the slots, from 0 to 1, reserved for each rank while its requests run or
     * wait.
     */
    public static final Map<Rank, Double> DEFAULT_FLOORS =
            Map.of(Rank.URGENT, 0.20, Rank.BULK, 0.10);

    /** The maximum time in a queue for each rank, in milliseconds. */
    public static final Map<Rank, Long> DEFAULT_QUEUE_MILLIS =
            Map.of(Rank.URGENT, 4_000L, Rank.BULK, 60_000L);

    /** The weight of a client account without a weight rule. */
    public static final int DEFAULT_WEIGHT = 1;

    /** The number of retries that each successful request of a client account allows. */
    public static final double DEFAULT_RETRY_SHARE = 0.10;

    /** The fraction of a model's slots that resumed generations may take from other requests. */
    public static final double DEFAULT_RECOVERY_SHARE = 0.50;

    /** The rules of an empty file. */
    public static final Rules EMPTY = new Rules(List.of());

    private final List<Rule> allRules;
    private final Map<RankSelector, Rank> ranks = new HashMap<>();
    private final Map<AccountId, Integer> weights = new HashMap<>();
    private final Map<Rank, Double> floors = new EnumMap<>(DEFAULT_FLOORS);
    private final Map<AccountId, Limits> limits = new HashMap<>();
    private final Map<QueueSelector, Long> queueMillis = new HashMap<>();
    private final Map<AccountId, Double> retryShares = new HashMap<>();
    private final Map<String, Double> recoveryShares = new HashMap<>();
    private final Map<ServiceName, List<Rule.AtMostOnceRule>> atMostOnceRules = new HashMap<>();
    private final List<Rule.PlacementRule> placements = new ArrayList<>();
    private int defaultWeight = DEFAULT_WEIGHT;
    private double defaultRetryShare = DEFAULT_RETRY_SHARE;
    private double defaultRecoveryShare = DEFAULT_RECOVERY_SHARE;
    private Limits defaultLimits = Limits.NONE;

    /** Selects the requests that a rank applies to; a null component matches every value. */
    private record RankSelector(AccountId account, String model, ServiceName service) {}

    /** Selects the requests that a queue time applies to; a null component matches every value. */
    private record QueueSelector(AccountId account, Rank rank) {}

    Rules(List<Rule> allRules) {
        this.allRules = List.copyOf(allRules);
        allRules.forEach(this::applyDefault);
        allRules.forEach(this::apply);
        for (List<Rule.AtMostOnceRule> serviceRules : atMostOnceRules.values()) {
            serviceRules.sort(
                    Comparator.comparing((Rule.AtMostOnceRule r) -> r.path().endsWith("*"))
                            .thenComparing(r -> -r.path().length()));
        }
    }

    private void applyDefault(Rule rule) {
        if (rule instanceof Rule.WeightRule r && r.account().isEmpty()) {
            defaultWeight = r.weight();
        } else if (rule instanceof Rule.RetryRule r && r.account().isEmpty()) {
            defaultRetryShare = r.share();
        } else if (rule instanceof Rule.RecoveryRule r && r.model().isEmpty()) {
            defaultRecoveryShare = r.share();
        } else if (rule instanceof Rule.LimitRule r && r.account().isEmpty()) {
            defaultLimits = merge(r, defaultLimits);
        }
    }

    private void apply(Rule rule) {
        if (rule instanceof Rule.RankRule r) {
            ranks.put(
                    new RankSelector(
                            r.account().orElse(null),
                            r.model().orElse(null),
                            r.service().orElse(null)),
                    r.rank());
        } else if (rule instanceof Rule.WeightRule r) {
            r.account().ifPresent(a -> weights.put(a, r.weight()));
        } else if (rule instanceof Rule.FloorRule r) {
            floors.put(r.rank(), r.share());
        } else if (rule instanceof Rule.LimitRule r) {
            applyLimit(r);
        } else if (rule instanceof Rule.RetryRule r) {
            r.account().ifPresent(a -> retryShares.put(a, r.share()));
        } else if (rule instanceof Rule.RecoveryRule r) {
            r.model().ifPresent(m -> recoveryShares.put(m, r.share()));
        } else if (rule instanceof Rule.AtMostOnceRule r) {
            atMostOnceRules.computeIfAbsent(r.service(), s -> new ArrayList<>()).add(r);
        } else if (rule instanceof Rule.PlacementRule r) {
            placements.add(r);
        }
    }

    private void applyLimit(Rule.LimitRule r) {
        if (r.rank().isEmpty()) {
            r.account().ifPresent(a -> limits.put(a, merge(r, defaultLimits)));
        }
        r.queueMillis()
                .ifPresent(
                        millis ->
                                queueMillis.put(
                                        new QueueSelector(
                                                r.account().orElse(null), r.rank().orElse(null)),
                                        millis));
    }

    private static Limits merge(Rule.LimitRule r, Limits base) {
        return new Limits(
                r.requestsPerSecond().orElse(base.requestsPerSecond()),
                r.tokensPerSecond().orElse(base.tokensPerSecond()),
                r.inFlight().orElse(base.inFlight()));
    }

    /** Returns all rules in file order. */
    public List<Rule> allRules() {
        return allRules;
    }

    /**
     * Returns the rank of a generation. A rule for the account and the model takes precedence over
     * a rule for the account, that over a rule for the model, and that over a rule without
     * selectors; the default is bulk.
     */
    public Rank rank(AccountId account, String model) {
        return rank(account, model, null, Rank.BULK);
    }

    /**
     * Returns the rank of a call of a plain service, by the same precedence of rules; the default
     * is urgent.
     */
    public Rank rank(AccountId account, ServiceName service) {
        return rank(account, null, service, Rank.URGENT);
    }

    private Rank rank(AccountId account, String model, ServiceName service, Rank defaultRank) {
        Rank forAccountAndTarget = ranks.get(new RankSelector(account, model, service));
        if (forAccountAndTarget != null) {
            return forAccountAndTarget;
        }
        Rank forAccount = ranks.get(new RankSelector(account, null, null));
        if (forAccount != null) {
            return forAccount;
        }
        Rank forTarget = ranks.get(new RankSelector(null, model, service));
        if (forTarget != null) {
            return forTarget;
        }
        return ranks.getOrDefault(new RankSelector(null, null, null), defaultRank);
    }

    /**
     * Returns the weight of a client account among accounts with requests of the same rank, at
     * least 1.
     */
    public int weight(AccountId account) {
        return weights.getOrDefault(account, defaultWeight);
    }

    /**
     * Returns the fraction of the slots, from 0 to 1, reserved for a rank while its requests run or
     * wait.
     */
    public double floor(Rank rank) {
        return floors.get(rank);
    }

    /** Returns the request limits of a client account, as sums over all routers. */
    public Limits limits(AccountId account) {
        return limits.getOrDefault(account, defaultLimits);
    }

    /** Returns the maximum time that a request may wait in a queue, in milliseconds. */
    public long queueMillis(AccountId account, Rank rank) {
        Long forAccountAndRank = queueMillis.get(new QueueSelector(account, rank));
        if (forAccountAndRank != null) {
            return forAccountAndRank;
        }
        Long forAccount = queueMillis.get(new QueueSelector(account, null));
        if (forAccount != null) {
            return forAccount;
        }
        Long forRank = queueMillis.get(new QueueSelector(null, rank));
        if (forRank != null) {
            return forRank;
        }
        return queueMillis.getOrDefault(
                new QueueSelector(null, null), DEFAULT_QUEUE_MILLIS.get(rank));
    }

    /** Returns how many retries, from 0 to 1, each successful request of an account allows. */
    public double retryShare(AccountId account) {
        return retryShares.getOrDefault(account, defaultRetryShare);
    }

    /**
     * Returns the fraction of a model's slots, from 0 to 1, that resumed generations may take from
     * other requests at the same time.
     */
    public double recoveryShare(String model) {
        return recoveryShares.getOrDefault(model, defaultRecoveryShare);
    }

    /**
     * Returns the rule that forbids repeating a call, or empty when the call may be repeated. An
     * exact path takes precedence over a prefix, and a longer prefix over a shorter one.
     *
     * @param service the plain service
     * @param method the HTTP method in upper case
     * @param path the path below {@code /services/{name}}, beginning with a slash
     */
    public Optional<Rule.AtMostOnceRule> findAtMostOnceRule(
            ServiceName service, String method, String path) {
        for (Rule.AtMostOnceRule rule : atMostOnceRules.getOrDefault(service, List.of())) {
            if (rule.matches(method, path)) {
                return Optional.of(rule);
            }
        }
        return Optional.empty();
    }

    /** Returns the placement rules in file order. */
    public List<Rule.PlacementRule> placements() {
        return List.copyOf(placements);
    }
}
