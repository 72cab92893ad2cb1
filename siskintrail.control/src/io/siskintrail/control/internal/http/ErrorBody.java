package io.siskintrail.control.internal.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.siskintrail.internal.control.RulesEdit;
import io.siskintrail.internal.rules.RuleError;
import io.siskintrail.lib.Failure;
import java.util.List;

/**
 * The body of every refusal of the administration API.
 *
 * @param code the number of the result code
 * @param name its name
 * @param detail what was seen and what was expected
 * @param errors every error of a rules file; absent otherwise
 * @param winner the edit that won; absent when none did
 * @param currentNumber the number of the rules now; absent when it does not matter
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ErrorBody(
        int code,
        String name,
        String detail,
        List<Place> errors,
        RulesEdit winner,
        Long currentNumber) {

    /**
     * One error of a rules file.
     *
     * @param line the line, from 1
     * @param column the column, from 1
     * @param code the number of the result code
     * @param name its name
     * @param detail what was seen and what was expected
     */
    record Place(int line, int column, int code, String name, String detail) {
        static Place of(RuleError e) {
            return new Place(e.line(), e.column(), e.code().number(), e.code().name(), e.detail());
        }
    }

    static ErrorBody of(Failure failure) {
        return new ErrorBody(
                failure.code().number(), failure.code().name(), failure.detail(), null, null, null);
    }

    static HttpResponse<?> response(Failure failure) {
        return response(failure, of(failure));
    }

    static HttpResponse<?> response(Failure failure, ErrorBody body) {
        return HttpResponse.status(HttpStatus.valueOf(failure.code().httpStatus()))
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(body);
    }

    static HttpResponse<?> invalid(Failure failure, List<RuleError> errors) {
        List<Place> places = errors.stream().map(Place::of).toList();
        return response(
                failure,
                new ErrorBody(
                        failure.code().number(),
                        failure.code().name(),
                        failure.detail(),
                        places,
                        null,
                        null));
    }

    static HttpResponse<?> taken(Failure failure, RulesEdit winner, long currentNumber) {
        return response(
                failure,
                new ErrorBody(
                        failure.code().number(),
                        failure.code().name(),
                        failure.detail(),
                        null,
                        winner,
                        currentNumber));
    }
}
