package io.siskintrail.internal.rules;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ServiceName;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** One rule of a rules file. */
public sealed interface Rule {

    /** Returns where the rule stands and who asked for it. */
    SourceLine source();

    /** Returns what the rule is about; two rules with the same subject contradict each other. */
    String subject();

    /**
     * Gives the rank of the work that all present selectors match.
     *
     * @param source where the rule stands
     * @param rank the rank of the matching work
     * @param account the client account; empty matches all
     * @param model the model; empty matches all, and never present together with a service
     * @param service the plain service; empty matches all
     */
    record RankRule(
            SourceLine source,
            Rank rank,
            Optional<AccountId> account,
            Optional<String> model,
            Optional<ServiceName> service)
            implements Rule {
        @Override
        public String subject() {
            return "rank"
                    + selector("account", account)
                    + selector("model", model)
                    + selector("service", service);
        }
    }

    /**
     * Gives the share of a client account among those of its rank.
     *
     * @param source where the rule stands
     * @param weight the weight, at least 1
     * @param account the client account; empty for all without a weight of their own
     */
    record WeightRule(SourceLine source, int weight, Optional<AccountId> account) implements Rule {
        @Override
        public String subject() {
            return "weight" + selector("account", account);
        }
    }

    /**
     * Gives the share of the slots that a rank keeps while it has work.
     *
     * @param source where the rule stands
     * @param rank the rank
     * @param share the share, from 0 to 1
     */
    record FloorRule(SourceLine source, Rank rank, double share) implements Rule {
        @Override
        public String subject() {
            return "floor rank=" + rank;
        }
    }

    /**
     * Limits what client accounts may ask for. An absent value is not limited by this rule.
     *
     * @param source where the rule stands
     * @param account the client account; empty for each account without a value of its own
     * @param rank the rank whose queue time is limited; empty for both
     * @param requestsPerSecond mean rate of requests
     * @param tokensPerSecond mean rate of prompt and output tokens
     * @param inFlight requests that run or wait at once
     * @param queueMillis longest time in a queue, in milliseconds
     */
    record LimitRule(
            SourceLine source,
            Optional<AccountId> account,
            Optional<Rank> rank,
            OptionalDouble requestsPerSecond,
            OptionalDouble tokensPerSecond,
            OptionalInt inFlight,
            OptionalLong queueMillis)
            implements Rule {
        @Override
        public String subject() {
            return "limit" + selector("account", account) + selector("rank", rank);
        }
    }

    /**
     * Limits the retries of client accounts to a share of their successes.
     *
     * @param source where the rule stands
     * @param share retries for each success, from 0 to 1
     * @param account the client account; empty for all without a share of their own
     */
    record RetryRule(SourceLine source, double share, Optional<AccountId> account) implements Rule {
        @Override
        public String subject() {
            return "retry" + selector("account", account);
        }
    }

    /**
     * Limits the slots of a model that resumed generations may take from other work at once.
     *
     * @param source where the rule stands
     * @param share share of the slots, from 0 to 1
     * @param model the model; empty for all without a share of their own
     */
    record RecoveryRule(SourceLine source, double share, Optional<String> model) implements Rule {
        @Override
        public String subject() {
            return "recovery" + selector("model", model);
        }
    }

    /**
     * Marks calls of a plain service as not repeatable.
     *
     * @param source where the rule stands
     * @param service the plain service
     * @param method the HTTP method in capitals
     * @param path the path below {@code /services/{name}}; one that ends in {@code *} matches every
     *     path that begins with the rest
     * @param keyHeader the header that holds the key; empty when the key is always derived
     * @param digestWindowMillis for how long equal calls without a key are taken for repeats, in
     *     milliseconds; empty when a call without the header is refused
     * @param retentionMillis how long a record is kept after its call ended, in milliseconds
     */
    record AtMostOnceRule(
            SourceLine source,
            ServiceName service,
            String method,
            String path,
            Optional<String> keyHeader,
            OptionalLong digestWindowMillis,
            long retentionMillis)
            implements Rule {
        private static final String WILDCARD = "*";

        @Override
        public String subject() {
            return "at-most-once service=%s method=%s path=%s".formatted(service, method, path);
        }

        /** Returns whether the rule covers a call. */
        public boolean matches(String callMethod, String callPath) {
            if (!method.equals(callMethod)) {
                return false;
            }
            if (!path.endsWith(WILDCARD)) {
                return path.equals(callPath);
            }
            return callPath.startsWith(path.substring(0, path.length() - WILDCARD.length()));
        }
    }

    /**
     * Asks for engines that hold a model.
     *
     * @param source where the rule stands
     * @param model the model, adapter and version
     * @param role the role of the engines
     * @param replicas how many engines
     * @param domain the failure domain they stand in; empty for a spread over all
     */
    record PlacementRule(
            SourceLine source,
            ModelId model,
            EngineRole role,
            int replicas,
            Optional<FailureDomain> domain)
            implements Rule {
        @Override
        public String subject() {
            return "place model=%s role=%s".formatted(model, role) + selector("domain", domain);
        }
    }

    private static String selector(String key, Optional<?> value) {
        return value.map(v -> " " + key + "=" + v).orElse("");
    }
}
