package io.siskintrail.lib;

/**
 * Describes why something was not done.
 *
 * @param code the numbered result code
 * @param detail what was seen and what was expected, in one sentence
 */
public record Failure(ResultCode code, String detail) {

    @Override
    public String toString() {
        return "%d %s: %s".formatted(code.number(), code, detail);
    }
}
