package io.siskintrail.internal.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts the bytes of an event stream into whole events. Not safe for use by several threads. */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final int maxEventBytes;
    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long id = -1;
    private boolean damaged;

    /** Makes a splitter that takes events of at most {@code maxEventBytes}. */
    public EventSplitter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /** Takes the next bytes; returns the events that they complete. */
    public List<StreamEvent> add(byte[] bytes) {
        List<StreamEvent> whole = new ArrayList<>(1);
        for (byte b : bytes) {
            if (damaged) {
                return whole;
            }
            event.write(b);
            if (b == '\n') {
                endLine(whole);
            } else if (b != '\r') {
                line.write(b);
            }
            damaged |= event.size() > maxEventBytes;
        }
        return whole;
    }

    /** Returns whether bytes of an unfinished event are held. */
    public boolean isInsideEvent() {
        return event.size() > 0;
    }

    /** Returns whether an event was too long or had a malformed number; nothing follows then. */
    public boolean isDamaged() {
        return damaged;
    }

    private void endLine(List<StreamEvent> whole) {
        if (line.size() > 0) {
            readField(line.toString(StandardCharsets.UTF_8));
            line.reset();
            return;
        }
        whole.add(new StreamEvent(id, event.toByteArray()));
        event.reset();
        id = -1;
    }

    private void readField(String text) {
        if (!text.startsWith(ID_FIELD)) {
            return;
        }
        try {
            id = Long.parseLong(text.substring(ID_FIELD.length()).trim());
        } catch (NumberFormatException e) {
            damaged = true;
        }
    }
}
