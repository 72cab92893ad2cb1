package io.siskintrail.internal.rules;

import io.siskintrail.lib.ResultCode;

/**
 * An error in a rules file, with its position.
 *
 * @param line the line number, from 1
 * @param column the column in characters, from 1
 * @param code a result code of the 3xxx range
 * @param detail one sentence that says what was found and what was expected
 */
public record RuleError(int line, int column, ResultCode code, String detail)
        implements Comparable<RuleError> {

    /** Orders by line, then by column. */
    @Override
    public int compareTo(RuleError other) {
        int byLine = Integer.compare(line, other.line);
        return byLine != 0 ? byLine : Integer.compare(column, other.column);
    }

    /** Returns {@code line:column: number NAME: detail}. */
    @Override
    public String toString() {
        return "%d:%d: %d %s: %s".formatted(line, column, code.number(), code, detail);
    }
}
