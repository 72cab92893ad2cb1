package io.siskintrail.lib;

import java.util.function.Function;

/**
 * Holds either a value or the failure that took its place.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

    /**
     * The outcome of a success.
     *
     * @param value what was made; never null
     * @param <T> the type of the value
     */
    record Ok<T>(T value) implements Result<T> {}

    /**
     * The outcome of a failure.
     *
     * @param failure why there is no value
     * @param <T> the type the value would have had
     */
    record Err<T>(Failure failure) implements Result<T> {}

    /** Returns a success with {@code value}. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failure with {@code code} and {@code detail}. */
    static <T> Result<T> err(ResultCode code, String detail) {
        return new Err<>(new Failure(code, detail));
    }

    /** Returns the outcome of {@code next} for a success, the same failure otherwise. */
    default <R> Result<R> then(Function<? super T, Result<R>> next) {
        if (this instanceof Ok<T> ok) {
            return next.apply(ok.value());
        }
        return new Err<>(((Err<T>) this).failure());
    }
}
