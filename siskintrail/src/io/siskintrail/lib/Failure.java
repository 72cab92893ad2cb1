package io.siskintrail.lib;

/**
 * Describes why an operation was not carried out.
 *
 * @param code the numbered result code
 * @param detail one sentence that says what was found and what was expected
 */
public record Failure(ResultCode code, String detail) {

    @Override
    public String toString() {
        return "%d %s: %s".formatted(code.number(), code, detail);
    }
}
