package io.siskintrail.router.internal.http;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.service.OperatorTokens;
import java.util.Optional;

/** Lets operators with a known token through to the administration API. */
@ServerFilter("/admin/**")
final class OperatorFilter {
    private static final String BEARER = "Bearer ";

    private final OperatorTokens tokens;

    OperatorFilter(OperatorTokens tokens) {
        this.tokens = tokens;
    }

    /** Returns a refusal, or null to go on. */
    @RequestFilter
    @Nullable
    HttpResponse<?> check(HttpRequest<?> request) {
        String header = request.getHeaders().get(HttpHeaders.AUTHORIZATION);
        if (header == null || !header.startsWith(BEARER)) {
            return ErrorBody.response(
                    new Failure(
                            ResultCode.MISSING_OPERATOR_TOKEN,
                            "expected header Authorization: Bearer TOKEN"));
        }
        Optional<String> operator = tokens.operatorOf(header.substring(BEARER.length()).trim());
        if (operator.isEmpty()) {
            return ErrorBody.response(
                    new Failure(
                            ResultCode.UNKNOWN_OPERATOR_TOKEN,
                            "the token is not in the settings of this router"));
        }
        return null;
    }
}
