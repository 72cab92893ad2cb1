package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognises a response head that was cut and continued by the head of another response: its status
 * is that of the first, its other fields may be those of the second.
 *
 * <p>A whole head that quotes a status line in a field before its request ID looks the same and
 * counts as joined. Behind the ID a quote means nothing: the second head would have brought another
 * ID.
 */
final class JoinedHeads {
    /** A valid status, or a number that ends like one: an endpoint may send an invalid status. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] (?:[1-5][0-9][0-9]\\b|[+-]?[0-9]+(?: |$))");

    private JoinedHeads() {}

    /** Returns whether a status line stands inside the head, before its {@code requestId}. */
    static boolean isJoined(HttpResponse response, String requestId) {
        if (hasStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (field.getValue().equals(requestId)) {
                return false;
            }
            if (hasStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasStatusLine(String text) {
        return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }
}
