package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.wire.control.CommittedListener;
import java.nio.charset.StandardCharsets;

/** Joins what it is told, as {@link JoinedText} does. */
final class FollowedText implements CommittedListener {
    private volatile String text = "";

    @Override
    public void entry(LogPosition position, long atMillis, byte[] command) {
        text += new String(command, StandardCharsets.UTF_8);
    }

    @Override
    public void snapshot(LogPosition position, byte[] image) {
        text = new String(image, StandardCharsets.UTF_8);
    }

    String value() {
        return text;
    }
}
