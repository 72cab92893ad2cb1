package io.siskintrail.internal.traffic.stream;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Events are complete and unchanged, however the stream is split into chunks. */
class EventSplitterTest {
    private static final int MAX_EVENT_BYTES = 1_000;
    private static final String STREAM =
            "id: 1\ndata: a\n\n" + "id:2\r\ndata: b\r\n\r\n" + "data: without id\n\n";

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000})
    void eventsAreSplitAtEmptyLines(int chunkBytes) {
        EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);
        List<StreamEvent> events = feed(splitter, STREAM, chunkBytes);

        assertThat(events.stream().map(StreamEvent::id)).containsExactly(1L, 2L, -1L).inOrder();
        StringBuilder joined = new StringBuilder();
        events.forEach(e -> joined.append(new String(e.bytes(), StandardCharsets.UTF_8)));
        assertThat(joined.toString()).isEqualTo(STREAM);
        assertThat(splitter.isInsideEvent()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 1", "id: 1\n", "id: 1\ndata: a\n"})
    void incompleteEventIsBuffered(String start) {
        EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);

        assertThat(feed(splitter, start, start.length())).isEmpty();
        assertThat(splitter.isInsideEvent()).isTrue();
    }

    @Test
    void eventOverMaximumSizeIsMalformed() {
        EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);

        feed(splitter, "data: " + "x".repeat(MAX_EVENT_BYTES) + "\n\n", 100);

        assertThat(splitter.isMalformed()).isTrue();
    }

    /** Guards against the head of an error that passes for an event. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror\n\n",
                "id: 3\ndaHTTP/1.1 500 X\r\n\r\n",
                "{\"error\": \"full\"}\n\n",
                "<html>\n\n"
            })
    void lineThatIsNoFieldIsMalformed(String text) {
        EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);

        assertThat(feed(splitter, text, 3)).isEmpty();
        assertThat(splitter.isMalformed()).isTrue();
    }

    @Test
    void commentsAndOtherFieldsAreKept() {
        EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);
        String text = "x-weight-versions: 3\nid: 1\nevent: a\ndata\n: comment\n\n";

        assertThat(feed(splitter, text, 3)).hasSize(1);
        assertThat(splitter.isMalformed()).isFalse();
    }

    private static List<StreamEvent> feed(EventSplitter splitter, String text, int chunkBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        List<StreamEvent> events = new ArrayList<>();
        for (int i = 0; i < bytes.length; i += chunkBytes) {
            int end = Math.min(bytes.length, i + chunkBytes);
            events.addAll(splitter.add(Arrays.copyOfRange(bytes, i, end)));
        }
        return events;
    }
}
