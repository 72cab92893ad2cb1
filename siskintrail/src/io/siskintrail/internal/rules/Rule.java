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

    /** Returns the line of the rule in the file and who requested the rule. */
    SourceLine source();

    /** Returns what the rule sets; a file must not have two rules with the same subject. */
    String subject();

    /**
     * Sets the rank of the work that matches all present selectors.
     *
     * @param source the line of the rule and who requested it
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
                    + formatSelector("account", account)
                    + formatSelector("model", model)
                    + formatSelector("service", service);
        }
    }

    /**
     * Sets the weight with which a client account shares capacity with others of its rank.
     *
     * @param source the line of the rule and who requested it
     * @param weight relative share of the account, at least 1
     * @param account the client account; empty for all accounts without a weight rule of their own
     */
    record WeightRule(SourceLine source, int weight, Optional<AccountId> account) implements Rule {
        @Override
        public String subject() {
            return "weight" + formatSelector("account", account);
        }
    }

    /**
     * Reserves a share of the slots for a rank while that rank has work.
     *
     * @param source the line of the rule and who requested it
     * @param rank the rank that the slots are reserved for
     * @param share share of the slots, from 0 to 1
     */
    record FloorRule(SourceLine source, Rank rank, double share) implements Rule {
        @Override
        public String subject() {
            return "floor rank=" + rank;
        }
    }

    /**
     * Limits the requests of client accounts. An absent value is not limited by this rule.
     *
     * @param source the line of the rule and who requested it
     * @param account the client account; empty for each account without a limit of its own
     * @param rank the rank whose queue time is limited; empty for both ranks
     * @param requestsPerSecond maximum mean rate of requests
     * @param tokensPerSecond maximum mean rate of prompt and output tokens
     * @param inFlight maximum number of requests that run or wait at the same time
     * @param queueMillis maximum time in a queue, in milliseconds
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
            return "limit" + formatSelector("account", account) + formatSelector("rank", rank);
        }
    }

    /**
     * Limits the retries of client accounts to a share of their successful requests.
     *
     * @param source the line of the rule and who requested it
     * @param share allowed retries per successful request, from 0 to 1
     * @param account the client account; empty for all accounts without a retry rule of their own
     */
    record RetryRule(SourceLine source, double share, Optional<AccountId> account) implements Rule {
        @Override
        public String subject() {
            return "retry" + formatSelector("account", account);
        }
    }

    /**
     * Limits the slots of a model that resumed generations may take from other work at the same
     * time.
     *
     * @param source the line of the rule and who requested it
     * @param share share of the slots, from 0 to 1
     * @param model the model; empty for all models without a recovery rule of their own
     */
    record RecoveryRule(SourceLine source, double share, Optional<String> model) implements Rule {
        @Override
        public String subject() {
            return "recovery" + formatSelector("model", model);
        }
    }

    /**
     * Marks calls of a plain service that must run at most once.
     *
     * @param source the line of the rule and who requested it
     * @param service the plain service
     * @param method the HTTP method in upper case
     * @param path the path below {@code /services/{name}}; a trailing {@code *} matches every path
     *     with the preceding prefix
     * @param keyHeader the header that holds the idempotency key; empty when the key is always
     *     derived from a digest of the call
     * @param digestWindowMillis how long identical calls without a key are treated as repeats, in
     *     milliseconds; empty when a call without the header is refused
     * @param retentionMillis how long the record of a call is kept after the call has ended, in
     *     milliseconds
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

        /** Returns whether the rule applies to a call. */
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
     * Requests a number of engines that hold a model.
     *
     * @param source the line of the rule and who requested it
     * @param model the model, adapter and version
     * @param role the phases of a generation that these engines run
     * @param replicas number of engines to hold the model
     * @param domain the failure domain of the engines; empty to spread them over all domains
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
            return "place model=%s role=%s".formatted(model, role)
                    + formatSelector("domain", domain);
        }
    }

    private static String formatSelector(String key, Optional<?> value) {
        return value.map(selected -> " " + key + "=" + selected).orElse("");
    }
}
