package io.siskintrail.internal.rules;

/** Thrown for a well-formed value that is outside its range. */
final class ValueOutOfRangeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    ValueOutOfRangeException(String message) {
        super(message);
    }
}
