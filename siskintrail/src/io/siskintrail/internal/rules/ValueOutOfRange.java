package io.siskintrail.internal.rules;

/** Thrown for a value of the right form that lies outside its range. */
final class ValueOutOfRange extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    ValueOutOfRange(String message) {
        super(message);
    }
}
