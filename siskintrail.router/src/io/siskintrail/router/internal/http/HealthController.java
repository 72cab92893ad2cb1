package io.siskintrail.router.internal.http;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.router.internal.rules.Readiness;

/** Tells the balancer whether this router takes new work. */
@Controller("/health")
final class HealthController {

    private final Readiness readiness;

    HealthController(Readiness readiness) {
        this.readiness = readiness;
    }

    @Get("/live")
    HttpResponse<String> live() {
        return HttpResponse.ok("{\"status\":\"live\"}");
    }

    @Get("/ready")
    HttpResponse<String> ready() {
        return readiness
                .refusal()
                .map(ErrorBody::response)
                .orElseGet(() -> HttpResponse.ok("{\"status\":\"ready\"}"));
    }
}
