package io.siskintrail.router.internal.order;

import io.siskintrail.internal.ledger.OrderKey;
import io.siskintrail.internal.ledger.OrderOutcome;
import io.siskintrail.internal.ledger.StoredAnswer;
import io.siskintrail.internal.rules.Rule.AtMostOnceRule;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.router.internal.rules.RulesView;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Decides by the rules whether a call of a plain service is an order, and carries it out. */
public final class ServiceCalls implements AutoCloseable {
    private static final long ORDER_WAIT_MILLIS = 10_000;
    private static final long MAX_WAIT_SECONDS = 60;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The preference of RFC 7240 for how many seconds a caller waits. */
    private static final Pattern WAIT = Pattern.compile("(?:^|[,;\\s])wait=(\\d{1,4})");

    private final RulesView rules;
    private final OrderService orders;
    private final RepeatableCalls repeatable;

    /**
     * What the caller is answered.
     *
     * @param answer the answer of the endpoint
     * @param replayed whether it comes from the record of an earlier request
     */
    public record Served(StoredAnswer answer, boolean replayed) {}

    private record KeyedTerms(RequestKey key, long retentionMillis) {}

    /** Takes the rules, the owner of the orders and the endpoints. */
    public ServiceCalls(RulesView rules, OrderService orders, EndpointDirectory directory) {
        this.rules = rules;
        this.orders = orders;
        this.repeatable = new RepeatableCalls(directory);
    }

    /** Handles {@code call}; the stage never fails. */
    public CompletionStage<Result<Served>> handle(ServiceCall call) {
        Optional<AtMostOnceRule> rule =
                rules.rules().findAtMostOnceRule(call.service(), call.method(), call.path());
        if (!rules.mayTakeWork()) {
            ResultCode code =
                    rule.isPresent()
                            ? ResultCode.ORDER_LEDGER_UNAVAILABLE
                            : ResultCode.NOT_RUN_RULES_STALE;
            return failed(code, "this router cannot confirm that its rules are current");
        }
        if (rule.isEmpty()) {
            return repeatable.forward(call).thenApply(ServiceCalls::first);
        }
        Result<KeyedTerms> terms = terms(rule.get(), call);
        if (terms instanceof Result.Err<KeyedTerms> err) {
            return CompletableFuture.completedFuture(new Result.Err<>(err.failure()));
        }
        KeyedTerms t = ((Result.Ok<KeyedTerms>) terms).value();
        OrderKey key = new OrderKey(call.service(), call.account(), t.key());
        return orders.place(key, call, t.retentionMillis(), waitMillis(call))
                .thenApply(outcome -> told(key, outcome));
    }

    @Override
    public void close() {
        repeatable.close();
    }

    private static long waitMillis(ServiceCall call) {
        String prefer = call.header("Prefer");
        Matcher wait = WAIT.matcher(prefer == null ? "" : prefer);
        if (!wait.find()) {
            return ORDER_WAIT_MILLIS;
        }
        return Math.min(MAX_WAIT_SECONDS, Long.parseLong(wait.group(1))) * MILLIS_PER_SECOND;
    }

    private static Result<KeyedTerms> terms(AtMostOnceRule rule, ServiceCall call) {
        String value = rule.keyHeader().map(call::header).orElse(null);
        if (value != null) {
            try {
                return Result.ok(
                        new KeyedTerms(new RequestKey(value.trim()), rule.retentionMillis()));
            } catch (IllegalArgumentException e) {
                return Result.err(ResultCode.BAD_HEADER, e.getMessage());
            }
        }
        if (rule.digestWindowMillis().isEmpty()) {
            return Result.err(
                    ResultCode.ORDER_KEY_REQUIRED,
                    "this call needs the header " + rule.keyHeader().orElse("?"));
        }
        return Result.ok(
                new KeyedTerms(call.digest().derivedKey(), rule.digestWindowMillis().getAsLong()));
    }

    private static Result<Served> told(OrderKey key, OrderOutcome outcome) {
        if (outcome instanceof OrderOutcome.Answered a) {
            return a.answer().kept()
                    ? Result.ok(new Served(a.answer(), a.replayed()))
                    : Result.err(
                            ResultCode.ORDER_ANSWER_NOT_KEPT,
                            "order %s ran with status %d".formatted(key, a.answer().status()));
        }
        Failure failure = new Failure(code(outcome), "order " + key);
        return new Result.Err<>(failure);
    }

    private static ResultCode code(OrderOutcome outcome) {
        if (outcome instanceof OrderOutcome.NotRun n) {
            return n.code();
        }
        if (outcome instanceof OrderOutcome.Unknown) {
            return ResultCode.ORDER_UNKNOWN;
        }
        if (outcome instanceof OrderOutcome.InProgress) {
            return ResultCode.ORDER_IN_PROGRESS;
        }
        return outcome instanceof OrderOutcome.KeyReused
                ? ResultCode.KEY_REUSED
                : ResultCode.ORDER_LEDGER_UNAVAILABLE;
    }

    private static Result<Served> first(Result<StoredAnswer> answer) {
        return answer.flatMap(a -> Result.ok(new Served(a, false)));
    }

    private static CompletionStage<Result<Served>> failed(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(Result.err(code, detail));
    }
}
