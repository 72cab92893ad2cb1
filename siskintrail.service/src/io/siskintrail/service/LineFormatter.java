package io.siskintrail.service;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Writes an event as one line of key=value pairs. */
final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord event) {
        String name = event.getLoggerName();
        String logger = name == null ? "-" : name.substring(name.lastIndexOf('.') + 1);
        StringBuilder line = new StringBuilder();
        line.append("time=").append(event.getInstant());
        line.append(" level=").append(event.getLevel().getName());
        line.append(" logger=").append(logger).append(' ');
        line.append(asPairs(formatMessage(event)));
        if (event.getThrown() != null) {
            line.append(" cause=").append(LogEvent.quote(event.getThrown().toString()));
        }
        return line.append('\n').toString();
    }

    private static String asPairs(String message) {
        return message.startsWith("event=") ? message : "message=" + LogEvent.quote(message);
    }
}
