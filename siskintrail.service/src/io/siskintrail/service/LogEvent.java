package io.siskintrail.service;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Builds one log line of key=value pairs for one event. Values with spaces, quotes or equal signs
 * are quoted.
 *
 * <p>Not safe for use by several threads.
 */
public final class LogEvent {
    /** Length of most lines. */
    private static final int INITIAL_CHARS = 192;

    private final Logger logger;
    private final Level level;

    /** The line so far; null if the level is disabled. */
    private final StringBuilder line;

    private LogEvent(Logger logger, Level level, String event) {
        this.logger = logger;
        this.level = level;
        this.line =
                logger.isLoggable(level)
                        ? new StringBuilder(INITIAL_CHARS).append("event=").append(event)
                        : null;
    }

    /** Starts a line at level INFO. */
    public static LogEvent info(Logger logger, String event) {
        return new LogEvent(logger, Level.INFO, event);
    }

    /** Starts a line at level WARNING. */
    public static LogEvent warning(Logger logger, String event) {
        return new LogEvent(logger, Level.WARNING, event);
    }

    /** Starts a line at level DEBUG. */
    public static LogEvent debug(Logger logger, String event) {
        return new LogEvent(logger, Level.DEBUG, event);
    }

    /** Adds a pair; a null value is written as {@code -}. */
    public LogEvent with(String key, Object value) {
        if (line != null) {
            line.append(' ').append(key).append('=').append(quote(String.valueOf(orDash(value))));
        }
        return this;
    }

    /** Writes the line. */
    public void write() {
        if (line != null) {
            logger.log(level, line.toString());
        }
    }

    private static Object orDash(Object value) {
        return value == null ? "-" : value;
    }

    static String quote(String value) {
        if (isPlain(value)) {
            return value;
        }
        String escaped =
                value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r");
        return '"' + escaped + '"';
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=' || c == 0x7f) {
                return false;
            }
        }
        return !value.isEmpty();
    }
}
