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

    /**
     * Returns the kind and the selectors of the rule, such as {@code rank account=a}; a file must
     * not have two rules with the same subject.
     */
    String subject();

    /**
     * Sets the rank of the generations and calls that match all of the given selectors.
     *
     * @param source the line of the rule and who requested it
     * @param rank the rank of the matching generations and calls
     * @param account the client account; empty matches every account
     * @param model the model; empty matches every model; always empty if {@code service} is present
     * @param service the plain service, which answers each call with a single response; empty
     *     matches every service
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
     * Sets the weight of a client account when accounts with requests of the same rank share
     * capacity.
     *
     * @param source the line of the rule and who requested it
     * @param weight relative share of the account, from 1 to 1,000
     * @param account the client account; empty for all accounts without a weight rule of their own
     */
    record WeightRule(SourceLine source, int weight, Optional<AccountId> account) implements Rule {
        @Override
        public String subject() {
            return "weight" + formatSelector("account", account);
        }
    }

    /**
     * Reserves a share of the slots for a rank while requests of the rank run or wait. A slot is
     * the capacity of an endpoint for one concurrent request.
     *
     * @param source the line of the rule and who requested it
     * @param rank the rank that the slots are reserved for
     * @param share reserved fraction of the slots, from 0 to 1
     */
    record FloorRule(SourceLine source, Rank rank, double share) implements Rule {
        @Override
        public String subject() {
            return "floor rank=" + rank;
        }
    }

    /**
     * Limits the requests of client accounts. An empty limit is not set by the rule.
     *
     * @param source the line of the rule and who requested it
     * @param account the client account; empty to set the default for each limit that no rule of an
     *     account sets
     * @param rank the rank whose queue time is limited; empty for both ranks
     * @param requestsPerSecond maximum mean rate of requests, above 0 and at most 1e9
     * @param tokensPerSecond maximum mean rate of prompt and output tokens, above 0 and at most 1e9
     * @param inFlight maximum number of requests that run or wait at the same time, from 1 to
     *     1,000,000
     * @param queueMillis maximum time in a queue, in milliseconds, from 1 to 86,400,000 (1 day)
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
     * Limits the share of a model's slots that resumed generations may take from other requests at
     * the same time.
     *
     * @param source the line of the rule and who requested it
     * @param share fraction of the model's slots, from 0 to 1
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
     * @param method the HTTP method, 3 to 10 upper-case letters
     * @param path the path below {@code /services/{name}}, beginning with a slash; a trailing
     *     {@code *} matches every path with the preceding prefix
     * @param keyHeader the header that holds the idempotency key; empty when the key is always
     *     derived from a digest of the call
     * @param digestWindowMillis how long identical calls without a key are treated as repeats, in
     *     milliseconds, from 1,000 to 86,400,000 (1 day); empty when a call without {@code
     *     keyHeader} is refused
     * @param retentionMillis how long the record of a call that carries the idempotency key is kept
     *     after the call has ended, in milliseconds, from 60,000 (1 minute) to 2,592,000,000 (30
     *     days)
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

        /**
         * Returns whether method and path of a call match the rule. The service is not compared.
         *
         * @param callMethod the HTTP method in upper case
         * @param callPath the path below {@code /services/{name}}, beginning with a slash
         */
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
     * Requires a number of engines to have a model loaded.
     *
     * @param source the line of the rule and who requested it
     * @param model the model, adapter and version
     * @param role the phases of a generation that these engines run
     * @param replicas number of engines to load the model, from 0 to 100,000
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
