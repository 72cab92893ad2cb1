package io.siskintrail.router.internal.http;

import io.micronaut.context.annotation.Replaces;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import io.micronaut.http.server.exceptions.response.HateoasErrorResponseProcessor;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import jakarta.inject.Singleton;

/** Gives the errors that the HTTP server itself answers with the form and number of all others. */
@Singleton
@Replaces(HateoasErrorResponseProcessor.class)
final class FallbackErrors implements ErrorResponseProcessor<String> {
    private static final int FIRST_SERVER_ERROR = 500;

    @Override
    public MutableHttpResponse<String> processResponse(
            ErrorContext context, MutableHttpResponse<?> response) {
        String detail =
                context.hasErrors() ? context.getErrors().get(0).getMessage() : response.reason();
        Failure failure = new Failure(code(response.status()), detail);
        return response.status(failure.code().httpStatus())
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(ErrorBody.json(failure));
    }

    private static ResultCode code(HttpStatus status) {
        return switch (status) {
            case NOT_FOUND, METHOD_NOT_ALLOWED -> ResultCode.NOT_FOUND;
            case REQUEST_ENTITY_TOO_LARGE -> ResultCode.INPUT_TOO_LONG;
            case UNAUTHORIZED -> ResultCode.MISSING_API_KEY;
            default ->
                    status.getCode() >= FIRST_SERVER_ERROR
                            ? ResultCode.INTERNAL
                            : ResultCode.BAD_JSON;
        };
    }
}
