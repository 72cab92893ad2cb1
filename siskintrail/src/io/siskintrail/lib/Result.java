package io.siskintrail.lib;

import java.util.function.Function;

/**
 * The outcome of an operation: either a value or the failure that prevented it.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

    /**
     * A success.
     *
     * @param value the result of the operation; never null
     * @param <T> the type of the value
     */
    record Ok<T>(T value) implements Result<T> {}

    /**
     * A failure.
     *
     * @param failure why there is no value
     * @param <T> the type that the value of a success would have
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

    /** Applies {@code mapper} to the value of a success; returns the same failure otherwise. */
    default <R> Result<R> flatMap(Function<? super T, Result<R>> mapper) {
        if (this instanceof Ok<T> ok) {
            return mapper.apply(ok.value());
        }
        return new Err<>(((Err<T>) this).failure());
    }
}
