package io.siskintrail.router.internal.http;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.rules.RulesView;

/** Tells the balancer whether this router takes new work. */
@Controller("/health")
final class HealthController {

    private final RulesView rules;

    HealthController(RulesView rules) {
        this.rules = rules;
    }

    @Get("/live")
    HttpResponse<String> live() {
        return HttpResponse.ok("{\"status\":\"live\"}");
    }

    @Get("/ready")
    HttpResponse<String> ready() {
        if (!rules.mayTakeWork()) {
            return ErrorBody.response(
                    new Failure(
                            ResultCode.NOT_RUN_RULES_STALE,
                            "this router cannot confirm that its rules are current"));
        }
        return HttpResponse.ok("{\"status\":\"ready\"}");
    }
}
