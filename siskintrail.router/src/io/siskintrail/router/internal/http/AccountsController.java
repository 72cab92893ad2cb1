package io.siskintrail.router.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.internal.policy.AccountReport;
import io.siskintrail.lib.Rank;
import io.siskintrail.router.internal.policy.PolicyService;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/** Tells operators who waits on this router, who was refused and why. */
@Controller("/admin/accounts")
final class AccountsController {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PolicyService policy;

    AccountsController(PolicyService policy) {
        this.policy = policy;
    }

    @Get
    CompletionStage<HttpResponse<?>> list() {
        return policy.accounts().thenApply(AccountsController::toBody);
    }

    private static HttpResponse<?> toBody(List<AccountReport> reports) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode accounts = root.putArray("accounts");
        reports.forEach(r -> write(accounts.addObject(), r));
        return HttpResponse.ok(root.toString());
    }

    private static void write(ObjectNode node, AccountReport r) {
        node.put("account", r.account().value());
        write(node.putObject("waiting"), r.waiting());
        write(node.putObject("running"), r.running());
        node.put("started", r.started());
        node.put("joined", r.joined());
        node.put("suspended", r.suspended());
        node.put("served", Math.round(r.servedCost()));
        node.put("oldest_wait_millis", r.oldestWaitMillis());
        ObjectNode refused = node.putObject("refused");
        r.refused().forEach((code, n) -> refused.put(code.number() + " " + code, n));
    }

    private static void write(ObjectNode node, Map<Rank, Integer> counts) {
        counts.forEach((rank, n) -> node.put(rank.name().toLowerCase(Locale.ROOT), n));
    }
}
