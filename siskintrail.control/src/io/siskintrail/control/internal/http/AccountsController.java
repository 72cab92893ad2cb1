package io.siskintrail.control.internal.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.control.internal.configuration.ConfigurationService;
import io.siskintrail.internal.rules.Limits;
import io.siskintrail.internal.rules.Rule;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.internal.rules.RulesCheck;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

/** Shows what the rules give to each client account that they name. */
@Controller("/admin/accounts")
final class AccountsController {
    private final ConfigurationService service;

    AccountsController(ConfigurationService service) {
        this.service = service;
    }

    /**
     * A client account. An absent limit does not exist.
     *
     * @param account its id
     * @param weight its weight
     * @param requestsPerSecond its limit on requests
     * @param tokensPerSecond its limit on tokens
     * @param inFlight its limit on requests at once
     * @param urgentQueueMillis the longest time in the queue of urgent work
     * @param bulkQueueMillis the longest time in the queue of bulk work
     * @param retryShare retries for each success
     * @param ranks the rules of rank that name it
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Account(
            String account,
            int weight,
            Double requestsPerSecond,
            Double tokensPerSecond,
            Integer inFlight,
            long urgentQueueMillis,
            long bulkQueueMillis,
            double retryShare,
            List<String> ranks) {
        static Account of(AccountId id, Rules rules) {
            Limits limits = rules.limits(id);
            return new Account(
                    id.value(),
                    rules.weight(id),
                    finite(limits.requestsPerSecond()),
                    finite(limits.tokensPerSecond()),
                    limits.inFlight() == Integer.MAX_VALUE ? null : limits.inFlight(),
                    rules.queueMillis(id, Rank.URGENT),
                    rules.queueMillis(id, Rank.BULK),
                    rules.retryShare(id),
                    ranks(id, rules));
        }

        private static Double finite(double value) {
            return Double.isInfinite(value) ? null : value;
        }

        private static List<String> ranks(AccountId id, Rules rules) {
            return rules.allRules().stream()
                    .filter(
                            line ->
                                    line instanceof Rule.RankRule r
                                            && r.account().equals(Optional.of(id)))
                    .map(line -> line.source().text())
                    .toList();
        }
    }

    @Get
    List<Account> list() {
        String text = service.image().current().rulesText();
        if (!(RulesParser.parse(text) instanceof RulesCheck.Accepted accepted)) {
            return List.of();
        }
        TreeSet<AccountId> ids = new TreeSet<>();
        accepted.rules().allRules().forEach(line -> account(line).forEach(ids::add));
        return ids.stream().map(id -> Account.of(id, accepted.rules())).toList();
    }

    private static Stream<AccountId> account(Rule line) {
        if (line instanceof Rule.RankRule r) {
            return r.account().stream();
        }
        if (line instanceof Rule.WeightRule r) {
            return r.account().stream();
        }
        if (line instanceof Rule.LimitRule r) {
            return r.account().stream();
        }
        return line instanceof Rule.RetryRule r ? r.account().stream() : Stream.empty();
    }
}
