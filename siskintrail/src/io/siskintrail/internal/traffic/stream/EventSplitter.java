package io.siskintrail.internal.traffic.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits the bytes of a server-sent event stream into complete events. Not thread-safe. */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private static final int INITIAL_BYTES = 256;

    private final int maxEventBytes;
    private byte[] event = new byte[INITIAL_BYTES];
    private int length;
    private int lineStart;
    private long id = -1;
    private boolean malformed;

    /** Creates a splitter that accepts events of at most {@code maxEventBytes}. */
    public EventSplitter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /** Parses the next bytes; returns the events that they complete. */
    public List<StreamEvent> add(byte[] bytes) {
        List<StreamEvent> completed = new ArrayList<>(1);
        for (byte b : bytes) {
            if (malformed) {
                return completed;
            }
            append(b);
            if (b == '\n') {
                endLine(completed);
            }
            malformed |= length > maxEventBytes;
        }
        return completed;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    public boolean isInsideEvent() {
        return length > 0;
    }

    /**
     * Returns whether an event was too long, had a malformed id or a line that is no field, such as
     * the status line of an error in the middle of a stream; no more events follow then.
     */
    public boolean isMalformed() {
        return malformed;
    }

    private void append(byte b) {
        if (length == event.length) {
            event = Arrays.copyOf(event, 2 * length);
        }
        event[length++] = b;
    }

    private void endLine(List<StreamEvent> completed) {
        int end = length - 1;
        if (end > lineStart && event[end - 1] == '\r') {
            end--;
        }
        if (end > lineStart) {
            readField(end);
            lineStart = length;
            return;
        }
        completed.add(new StreamEvent(id, Arrays.copyOf(event, length)));
        length = 0;
        lineStart = 0;
        id = -1;
    }

    private void readField(int end) {
        malformed |= !isField(end);
        if (event[lineStart] != ID_FIELD.charAt(0)) {
            return;
        }
        String text = new String(event, lineStart, end - lineStart, StandardCharsets.UTF_8);
        if (!text.startsWith(ID_FIELD)) {
            return;
        }
        try {
            id = Long.parseLong(text.substring(ID_FIELD.length()).trim());
        } catch (NumberFormatException e) {
            malformed = true;
        }
    }

    /**
     * Returns whether the line up to {@code end} is a comment, or a field whose name has only ASCII
     * letters and hyphens.
     */
    private boolean isField(int end) {
        int i = lineStart;
        while (i < end && isNameByte(event[i])) {
            i++;
        }
        return i == end || event[i] == ':';
    }

    private static boolean isNameByte(byte b) {
        return b == '-' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z';
    }
}
