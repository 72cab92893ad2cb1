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

/** Builds rules from the fields of a line, with one reader for each kind of rule. */
final class RuleReaders {
    /** Builds a rule from its fields; the caller discards the rule if an error was reported. */
    @FunctionalInterface
    interface Reader {
        Optional<Rule> read(RuleFields fields);
    }

    static final Map<String, Reader> BY_KIND =
            new TreeMap<>(
                    Map.of(
                            "rank", RuleReaders::readRank,
                            "weight", RuleReaders::readWeight,
                            "floor", RuleReaders::readFloor,
                            "limit", RuleReaders::readLimit,
                            "retry", RuleReaders::readRetry,
                            "recovery", RuleReaders::readRecovery,
                            "at-most-once", RuleReaders::readAtMostOnce,
                            "place", RuleReaders::readPlacement));

    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_IN_FLIGHT = 1_000_000;
    private static final int MAX_REPLICAS = 100_000;
    private static final String HEADER_PREFIX = "header:";
    private static final String DIGEST_KEY = "digest";
    private static final String DEFAULT_RETENTION = "24h";
    private static final String MAX_RETENTION = "30d";
    private static final long DEFAULT_RETENTION_MILLIS = 24 * 3_600_000L;

    private RuleReaders() {}

    private static Optional<Rule> readRank(RuleFields fields) {
        var rank = fields.parseRequiredRankWord();
        var account = fields.parseOptional("account", AccountId::new);
        var model = fields.parseOptional("model", RuleReaders::parseModelName);
        var service = fields.parseOptional("service", ServiceName::new);
        if (fields.has("model") && fields.has("service")) {
            fields.report(
                    fields.errorPosition("service"),
                    ResultCode.RULE_CONFLICT,
                    "model and service are mutually exclusive in one rule");
        }
        return rank.map(r -> new Rule.RankRule(fields.source(), r, account, model, service));
    }

    private static Optional<Rule> readWeight(RuleFields fields) {
        var weight = fields.parseRequiredWord("a weight", RuleValues.count(1, MAX_WEIGHT));
        var account = fields.parseOptional("account", AccountId::new);
        return weight.map(w -> new Rule.WeightRule(fields.source(), w, account));
    }

    private static Optional<Rule> readFloor(RuleFields fields) {
        var rank = fields.parseRequiredRankWord();
        var share = fields.parseRequiredWord("a share such as 15%", RuleValues::share);
        return rank.flatMap(r -> share.map(s -> new Rule.FloorRule(fields.source(), r, s)));
    }

    private static Optional<Rule> readLimit(RuleFields fields) {
        var account = fields.parseOptional("account", AccountId::new);
        var rank = fields.parseOptionalRankKey();
        var requestsPerSecond = fields.parseOptional("requests", RuleValues::rate);
        var tokensPerSecond = fields.parseOptional("tokens", RuleValues::rate);
        var inFlight = fields.parseOptional("in-flight", RuleValues.count(1, MAX_IN_FLIGHT));
        var queueMillis = fields.parseOptional("queue-time", RuleValues.time("1ms", "1d"));
        boolean limitsTotals =
                fields.has("requests") || fields.has("tokens") || fields.has("in-flight");
        if (!limitsTotals && !fields.has("queue-time")) {
            fields.report(
                    fields.kind(),
                    ResultCode.RULE_MISSING_KEY,
                    "limit requires requests=, tokens=, in-flight= or queue-time=");
        }
        if (fields.has("rank") && limitsTotals) {
            fields.report(
                    fields.errorPosition("rank"),
                    ResultCode.RULE_CONFLICT,
                    "only queue-time can be limited by rank; requests, tokens and in-flight apply"
                            + " to the account as a whole");
        }
        return Optional.of(
                new Rule.LimitRule(
                        fields.source(),
                        account,
                        rank,
                        toOptionalDouble(requestsPerSecond),
                        toOptionalDouble(tokensPerSecond),
                        inFlight.map(OptionalInt::of).orElse(OptionalInt.empty()),
                        toOptionalLong(queueMillis)));
    }

    private static Optional<Rule> readRetry(RuleFields fields) {
        var share = fields.parseRequiredWord("a share such as 10%", RuleValues::share);
        var account = fields.parseOptional("account", AccountId::new);
        return share.map(s -> new Rule.RetryRule(fields.source(), s, account));
    }

    private static Optional<Rule> readRecovery(RuleFields fields) {
        var share = fields.parseRequiredWord("a share such as 20%", RuleValues::share);
        var model = fields.parseOptional("model", RuleReaders::parseModelName);
        return share.map(s -> new Rule.RecoveryRule(fields.source(), s, model));
    }

    private static Optional<Rule> readAtMostOnce(RuleFields fields) {
        var service = fields.parseRequired("service", ServiceName::new);
        var method = fields.parseRequired("method", RuleValues::method);
        var path = fields.parseRequired("path", RuleValues::path);
        var headerName = fields.parseRequired("key", RuleReaders::parseKeyHeader);
        var windowMillis = fields.parseOptional("window", RuleValues.time("1s", "1d"));
        var givenRetention =
                fields.parseOptional("retention", RuleValues.time("1m", MAX_RETENTION));
        boolean usesDigestOnly = headerName.isPresent() && headerName.get().isEmpty();
        if (usesDigestOnly && !fields.has("window")) {
            fields.report(
                    fields.errorPosition("key"),
                    ResultCode.RULE_MISSING_KEY,
                    "key=digest requires window=");
        }
        long retentionMillis = givenRetention.orElse(DEFAULT_RETENTION_MILLIS);
        if (windowMillis.isPresent() && windowMillis.get() > retentionMillis) {
            fields.report(
                    fields.errorPosition("window"),
                    ResultCode.RULE_CONFLICT,
                    "window is longer than retention, which is %s without the key"
                            .formatted(DEFAULT_RETENTION));
        }
        if (service.isEmpty() || method.isEmpty() || path.isEmpty() || headerName.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Rule.AtMostOnceRule(
                        fields.source(),
                        service.get(),
                        method.get(),
                        path.get(),
                        headerName.get(),
                        toOptionalLong(windowMillis),
                        retentionMillis));
    }

    private static Optional<Rule> readPlacement(RuleFields fields) {
        var model = fields.parseRequired("model", RuleReaders::parseModelName);
        var adapter = fields.parseOptional("adapter", RuleReaders::parseModelName);
        var version = fields.parseRequired("version", RuleReaders::parseModelName);
        var role =
                fields.parseOptional(
                        "role", roleName -> RuleValues.enumConstant(EngineRole.class, roleName));
        var replicas = fields.parseRequired("replicas", RuleValues.count(0, MAX_REPLICAS));
        var domain = fields.parseOptional("domain", FailureDomain::new);
        if (model.isEmpty() || version.isEmpty() || replicas.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Rule.PlacementRule(
                        fields.source(),
                        new ModelId(model.get(), adapter.orElse(""), version.get()),
                        role.orElse(EngineRole.MIXED),
                        replicas.get(),
                        domain));
    }

    private static String parseModelName(String text) {
        if (text.contains("+") || text.contains("@")) {
            throw new IllegalArgumentException("%s must not contain + or @".formatted(text));
        }
        return new ModelId(text, "", text).model();
    }

    private static Optional<String> parseKeyHeader(String text) {
        if (text.equals(DIGEST_KEY)) {
            return Optional.empty();
        }
        if (!text.startsWith(HEADER_PREFIX)) {
            throw new IllegalArgumentException("%s is not header:NAME or digest".formatted(text));
        }
        return Optional.of(RuleValues.header(text.substring(HEADER_PREFIX.length())));
    }

    private static OptionalDouble toOptionalDouble(Optional<Double> value) {
        return value.map(OptionalDouble::of).orElse(OptionalDouble.empty());
    }

    private static OptionalLong toOptionalLong(Optional<Long> value) {
        return value.map(OptionalLong::of).orElse(OptionalLong.empty());
    }
}
