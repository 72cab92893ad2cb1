package io.siskintrail.router.internal.http;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.Put;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.router.internal.order.ServiceCall;
import io.siskintrail.router.internal.order.ServiceCalls;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Takes the calls of plain services. */
@Controller("/services")
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
final class ServicesController {
    private static final String PREFIX = "/services/";
    private static final String BEARER = "Bearer ";
    private static final String REPLAYED_HEADER = "Siskintrail-Replayed";
    private static final byte[] NONE = {};

    /** Headers that belong to one connection or to this router. */
    private static final Set<String> NOT_PASSED_ON =
            Set.of(
                    "authorization",
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private final ServiceCalls calls;
    private final ApiKeys keys;

    ServicesController(ServiceCalls calls, ApiKeys keys) {
        this.calls = calls;
        this.keys = keys;
    }

    @Get("/{rest:.*}")
    CompletionStage<HttpResponse<?>> get(HttpRequest<?> http, String rest) {
        return handle(http, null);
    }

    @Post("/{rest:.*}")
    CompletionStage<HttpResponse<?>> post(
            HttpRequest<?> http, String rest, @Nullable @Body byte[] body) {
        return handle(http, body);
    }

    @Put("/{rest:.*}")
    CompletionStage<HttpResponse<?>> put(
            HttpRequest<?> http, String rest, @Nullable @Body byte[] body) {
        return handle(http, body);
    }

    @Patch("/{rest:.*}")
    CompletionStage<HttpResponse<?>> patch(
            HttpRequest<?> http, String rest, @Nullable @Body byte[] body) {
        return handle(http, body);
    }

    @Delete("/{rest:.*}")
    CompletionStage<HttpResponse<?>> delete(
            HttpRequest<?> http, String rest, @Nullable @Body byte[] body) {
        return handle(http, body);
    }

    private CompletionStage<HttpResponse<?>> handle(HttpRequest<?> http, byte[] body) {
        Result<ServiceCall> call = call(http, body == null ? NONE : body);
        if (call instanceof Result.Err<ServiceCall> err) {
            return CompletableFuture.completedFuture(ErrorBody.response(err.failure()));
        }
        return calls.handle(((Result.Ok<ServiceCall>) call).value())
                .thenApply(ServicesController::render);
    }

    private Result<ServiceCall> call(HttpRequest<?> http, byte[] body) {
        String authorization = http.getHeaders().get("Authorization");
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Result.err(
                    ResultCode.MISSING_API_KEY, "expected header Authorization: Bearer KEY");
        }
        Optional<AccountId> account =
                keys.accountOf(authorization.substring(BEARER.length()).trim());
        if (account.isEmpty()) {
            return Result.err(ResultCode.UNKNOWN_API_KEY, "the API key is not known here");
        }
        String raw = http.getUri().getRawPath().substring(PREFIX.length());
        int slash = raw.indexOf('/');
        String name = slash < 0 ? raw : raw.substring(0, slash);
        String query = http.getUri().getRawQuery();
        try {
            return Result.ok(
                    new ServiceCall(
                            account.get(),
                            new ServiceName(name),
                            http.getMethodName().toUpperCase(Locale.ROOT),
                            slash < 0 ? "/" : raw.substring(slash),
                            query == null ? "" : "?" + query,
                            headers(http),
                            body));
        } catch (IllegalArgumentException e) {
            return Result.err(ResultCode.NOT_FOUND, e.getMessage());
        }
    }

    private static Map<String, String> headers(HttpRequest<?> http) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header : http.getHeaders().names()) {
            if (!NOT_PASSED_ON.contains(header.toLowerCase(Locale.ROOT))) {
                headers.put(header, String.join(", ", http.getHeaders().getAll(header)));
            }
        }
        return headers;
    }

    private static HttpResponse<?> render(Result<ServiceCalls.Served> result) {
        if (result instanceof Result.Err<ServiceCalls.Served> err) {
            Failure failure = err.failure();
            return ErrorBody.response(failure);
        }
        ServiceCalls.Served served = ((Result.Ok<ServiceCalls.Served>) result).value();
        MutableHttpResponse<byte[]> response =
                HttpResponse.<byte[]>status(HttpStatus.valueOf(served.answer().status()))
                        .body(served.answer().body());
        if (!served.answer().contentType().isEmpty()) {
            response.contentType(served.answer().contentType());
        }
        if (served.replayed()) {
            response.header(REPLAYED_HEADER, "true");
        }
        return response;
    }
}
