package io.siskintrail.service;

/** Thrown by the constructor of a settings record for a value outside its range. */
public final class SettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String key;
    private final String expected;

    /** Names the key and what was expected of its value. */
    public SettingsException(String key, String expected) {
        super("%s: expected %s".formatted(key, expected));
        this.key = key;
        this.expected = expected;
    }

    /** Returns the key inside its record. */
    public String key() {
        return key;
    }

    /** Returns what was expected. */
    public String expected() {
        return expected;
    }

    /** Throws unless {@code condition} holds. */
    public static void require(boolean condition, String key, String expected) {
        if (!condition) {
            throw new SettingsException(key, expected);
        }
    }
}
