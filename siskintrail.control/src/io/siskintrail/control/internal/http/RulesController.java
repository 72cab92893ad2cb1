package io.siskintrail.control.internal.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.siskintrail.control.internal.configuration.ConfigurationService;
import io.siskintrail.control.internal.configuration.EditOutcome;
import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.ConfigurationImage;
import io.siskintrail.internal.control.LineChange;
import io.siskintrail.internal.control.RulesEdit;
import io.siskintrail.internal.rules.RuleError;
import io.siskintrail.internal.rules.RulesCheck;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.service.LogEvent;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Shows, checks and replaces the rules. */
@Controller("/admin/rules")
final class RulesController {
    private static final System.Logger LOG = System.getLogger(RulesController.class.getName());

    private final ConfigurationService service;

    RulesController(ConfigurationService service) {
        this.service = service;
    }

    /**
     * The rules now.
     *
     * @param number their number
     * @param operator who applied them
     * @param atMillis when, by wall clock
     * @param inForce whether they are known to be in force on a majority of all hosts
     * @param text the rules file
     */
    record Shown(long number, String operator, long atMillis, boolean inForce, String text) {}

    /**
     * A file to check or compare.
     *
     * @param text the rules file
     */
    record Offered(String text) {}

    /**
     * An edit.
     *
     * @param from the number of the rules that it was made from
     * @param text the whole new rules file
     */
    record Edit(Long from, String text) {}

    /**
     * The outcome of an accepted edit.
     *
     * @param number the number of the rules that it made
     */
    record Accepted(long number) {}

    /**
     * The outcome of a check without errors.
     *
     * @param rules how many rules the file has
     */
    record Checked(int rules) {}

    /**
     * How a file differs from the rules now.
     *
     * @param number the number of the rules now
     * @param added lines that the rules now do not have
     * @param removed lines that the file does not have
     */
    record Difference(long number, List<String> added, List<String> removed) {}

    @Get
    Shown show() {
        ConfigurationImage image = service.image();
        Configuration c = image.current();
        boolean inForce = image.inForceVersion() >= c.version();
        return new Shown(c.rulesNumber(), c.operator(), c.rulesAtMillis(), inForce, c.rulesText());
    }

    @Get("/history")
    List<RulesEdit> history(@QueryValue(defaultValue = "50") int limit) {
        List<RulesEdit> all = service.image().history();
        return all.subList(Math.max(0, all.size() - Math.max(0, limit)), all.size());
    }

    @Post("/check")
    HttpResponse<?> check(@Body Offered offered) {
        if (offered.text() == null) {
            return missing("text");
        }
        RulesCheck check = RulesParser.parse(offered.text());
        if (check instanceof RulesCheck.Accepted accepted) {
            return HttpResponse.ok(new Checked(accepted.rules().allRules().size()));
        }
        return refused(((RulesCheck.Refused) check).errors());
    }

    @Post("/diff")
    HttpResponse<?> diff(@Body Offered offered) {
        if (offered.text() == null) {
            return missing("text");
        }
        Configuration c = service.image().current();
        LineChange change = LineChange.between(c.rulesText(), offered.text());
        return HttpResponse.ok(new Difference(c.rulesNumber(), change.added(), change.removed()));
    }

    @Post
    CompletionStage<HttpResponse<?>> apply(HttpRequest<?> request, @Body Edit edit) {
        String operator = request.getAttribute(OperatorFilter.OPERATOR, String.class).orElseThrow();
        if (edit.text() == null || edit.from() == null) {
            return java.util.concurrent.CompletableFuture.completedFuture(
                    missing(edit.text() == null ? "text" : "from"));
        }
        return service.edit(edit.from(), edit.text(), operator)
                .thenApply(outcome -> respond(outcome, edit.from(), operator));
    }

    private static HttpResponse<?> respond(EditOutcome outcome, long from, String operator) {
        LogEvent.info(LOG, "rules.edit")
                .with("operator", operator)
                .with("from", from)
                .with("outcome", outcome.getClass().getSimpleName())
                .write();
        if (outcome instanceof EditOutcome.Accepted accepted) {
            return HttpResponse.ok(new Accepted(accepted.number()));
        }
        if (outcome instanceof EditOutcome.Invalid invalid) {
            return refused(invalid.errors());
        }
        if (outcome instanceof EditOutcome.NumberTaken taken) {
            return ErrorBody.taken(
                    new Failure(
                            ResultCode.RULES_NUMBER_TAKEN,
                            "another edit was made from %d; the rules are %d now: look at the"
                                            .formatted(from, taken.currentNumber())
                                    + " difference and apply from there"),
                    taken.winner(),
                    taken.currentNumber());
        }
        if (outcome instanceof EditOutcome.NumberUnknown unknown) {
            return ErrorBody.taken(
                    new Failure(
                            ResultCode.RULES_NUMBER_UNKNOWN,
                            "there are no rules %d, the newest are %d"
                                    .formatted(from, unknown.currentNumber())),
                    null,
                    unknown.currentNumber());
        }
        return ErrorBody.response(((EditOutcome.Pending) outcome).failure());
    }

    private static HttpResponse<?> refused(List<RuleError> errors) {
        return ErrorBody.invalid(
                new Failure(
                        ResultCode.RULES_REFUSED,
                        "the file has %d errors; nothing was applied".formatted(errors.size())),
                errors);
    }

    private static HttpResponse<?> missing(String field) {
        return ErrorBody.response(
                new Failure(ResultCode.MISSING_FIELD, "the body lacks the field " + field));
    }
}
