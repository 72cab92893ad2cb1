package io.siskintrail.internal.rules;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Turns the words of a line into a rule, by the kind that its first word names. */
final class RuleReaders {
    /** Builds a rule when all fields are correct; the caller drops it after an error. */
    @FunctionalInterface
    interface Reader {
        Optional<Rule> read(RuleFields fields);
    }

    static final Map<String, Reader> BY_KIND =
            new TreeMap<>(
                    Map.of(
                            "rank", RuleReaders::rank,
                            "weight", RuleReaders::weight,
                            "floor", RuleReaders::floor,
                            "limit", RuleReaders::limit,
                            "retry", RuleReaders::retry,
                            "recovery", RuleReaders::recovery,
                            "at-most-once", RuleReaders::atMostOnce,
                            "place", RuleReaders::place));

    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_IN_FLIGHT = 1_000_000;
    private static final int MAX_REPLICAS = 100_000;
    private static final String HEADER_KEY = "header:";
    private static final String DIGEST_KEY = "digest";
    private static final String DEFAULT_RETENTION = "24h";
    private static final String MAX_RETENTION = "30d";
    private static final long DEFAULT_RETENTION_MILLIS = 24 * 3_600_000L;

    private RuleReaders() {}

    private static Optional<Rule> rank(RuleFields f) {
        var rank = f.rankOperand();
        var account = f.optional("account", AccountId::new);
        var model = f.optional("model", RuleReaders::modelName);
        var service = f.optional("service", ServiceName::new);
        if (f.has("model") && f.has("service")) {
            f.report(
                    f.at("service"),
                    ResultCode.RULE_CONFLICT,
                    "model and service exclude each other in one rule");
        }
        return rank.map(r -> new Rule.RankRule(f.source(), r, account, model, service));
    }

    private static Optional<Rule> weight(RuleFields f) {
        var weight = f.operand("a weight", RuleValues.count(1, MAX_WEIGHT));
        var account = f.optional("account", AccountId::new);
        return weight.map(w -> new Rule.WeightRule(f.source(), w, account));
    }

    private static Optional<Rule> floor(RuleFields f) {
        var rank = f.rankOperand();
        var share = f.operand("a share such as 15%", RuleValues::share);
        return rank.flatMap(r -> share.map(s -> new Rule.FloorRule(f.source(), r, s)));
    }

    private static Optional<Rule> limit(RuleFields f) {
        var account = f.optional("account", AccountId::new);
        var rank = f.optionalRank();
        var requests = f.optional("requests", RuleValues::rate);
        var tokens = f.optional("tokens", RuleValues::rate);
        var inFlight = f.optional("in-flight", RuleValues.count(1, MAX_IN_FLIGHT));
        var queue = f.optional("queue-time", RuleValues.time("1ms", "1d"));
        boolean counts = f.has("requests") || f.has("tokens") || f.has("in-flight");
        if (!counts && !f.has("queue-time")) {
            f.report(
                    f.kind(),
                    ResultCode.RULE_MISSING_KEY,
                    "limit needs requests=, tokens=, in-flight= or queue-time=");
        }
        if (f.has("rank") && counts) {
            f.report(
                    f.at("rank"),
                    ResultCode.RULE_CONFLICT,
                    "only queue-time can be limited by rank; requests, tokens and in-flight count"
                            + " the account as a whole");
        }
        return Optional.of(
                new Rule.LimitRule(
                        f.source(),
                        account,
                        rank,
                        optionalDouble(requests),
                        optionalDouble(tokens),
                        inFlight.map(OptionalInt::of).orElse(OptionalInt.empty()),
                        optionalLong(queue)));
    }

    private static Optional<Rule> retry(RuleFields f) {
        var share = f.operand("a share such as 10%", RuleValues::share);
        var account = f.optional("account", AccountId::new);
        return share.map(s -> new Rule.RetryRule(f.source(), s, account));
    }

    private static Optional<Rule> recovery(RuleFields f) {
        var share = f.operand("a share such as 20%", RuleValues::share);
        var model = f.optional("model", RuleReaders::modelName);
        return share.map(s -> new Rule.RecoveryRule(f.source(), s, model));
    }

    private static Optional<Rule> atMostOnce(RuleFields f) {
        var service = f.required("service", ServiceName::new);
        var method = f.required("method", RuleValues::method);
        var path = f.required("path", RuleValues::path);
        var key = f.required("key", RuleReaders::keyHeader);
        var window = f.optional("window", RuleValues.time("1s", "1d"));
        var retention = f.optional("retention", RuleValues.time("1m", MAX_RETENTION));
        boolean derived = key.isPresent() && key.get().isEmpty();
        if (derived && !f.has("window")) {
            f.report(f.at("key"), ResultCode.RULE_MISSING_KEY, "key=digest needs window=");
        }
        long kept = retention.orElse(DEFAULT_RETENTION_MILLIS);
        if (window.isPresent() && window.get() > kept) {
            f.report(
                    f.at("window"),
                    ResultCode.RULE_CONFLICT,
                    "window is longer than retention, which is %s without the key"
                            .formatted(DEFAULT_RETENTION));
        }
        if (service.isEmpty() || method.isEmpty() || path.isEmpty() || key.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Rule.AtMostOnceRule(
                        f.source(),
                        service.get(),
                        method.get(),
                        path.get(),
                        key.get(),
                        optionalLong(window),
                        kept));
    }

    private static Optional<Rule> place(RuleFields f) {
        var model = f.required("model", RuleReaders::modelName);
        var adapter = f.optional("adapter", RuleReaders::modelName);
        var version = f.required("version", RuleReaders::modelName);
        var role = f.optional("role", text -> RuleValues.constant(EngineRole.class, text));
        var replicas = f.required("replicas", RuleValues.count(0, MAX_REPLICAS));
        var domain = f.optional("domain", FailureDomain::new);
        if (model.isEmpty() || version.isEmpty() || replicas.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Rule.PlacementRule(
                        f.source(),
                        new ModelId(model.get(), adapter.orElse(""), version.get()),
                        role.orElse(EngineRole.MIXED),
                        replicas.get(),
                        domain));
    }

    private static String modelName(String text) {
        if (text.contains("+") || text.contains("@")) {
            throw new IllegalArgumentException("%s has a + or @ in it".formatted(text));
        }
        return new ModelId(text, "", text).model();
    }

    private static Optional<String> keyHeader(String text) {
        if (text.equals(DIGEST_KEY)) {
            return Optional.empty();
        }
        if (!text.startsWith(HEADER_KEY)) {
            throw new IllegalArgumentException("%s is not header:NAME or digest".formatted(text));
        }
        return Optional.of(RuleValues.header(text.substring(HEADER_KEY.length())));
    }

    private static OptionalDouble optionalDouble(Optional<Double> value) {
        return value.map(OptionalDouble::of).orElse(OptionalDouble.empty());
    }

    private static OptionalLong optionalLong(Optional<Long> value) {
        return value.map(OptionalLong::of).orElse(OptionalLong.empty());
    }
}
