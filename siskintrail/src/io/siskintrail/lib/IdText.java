package io.siskintrail.lib;

/** Validates the text form that all identifiers share. */
final class IdText {
    private static final int MAX_LENGTH = 200;

    private IdText() {}

    static void validate(String label, String value) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(label + " is missing or empty");
        }
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "%s has %d characters, at most %d are allowed"
                            .formatted(label, value.length(), MAX_LENGTH));
        }
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c >= 0x7f) {
                throw new IllegalArgumentException(
                        "%s has the character U+%04X at position %d, expected printable ASCII"
                                .formatted(label, (int) c, i));
            }
        }
    }
}
