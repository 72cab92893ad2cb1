package io.siskintrail.bench.promises;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ThreadLocalRandom;

/** An operator who edits the rules all the time, at any control replica. */
final class RulesEditor {
    private static final long CALL_MILLIS = 3_000;
    private static final int OK = 200;

    private final Http http;
    private final List<String> controls;
    private final String token;
    private final String text;
    private final Map<Long, Long> accepted = new ConcurrentSkipListMap<>();
    private long from;
    private String pending;
    private int edits;

    RulesEditor(Http http, List<String> controls, String token, String text) {
        this.http = http;
        this.controls = controls;
        this.token = token;
        this.text = text;
    }

    /** Makes one edit, or sends the last one again when its answer was lost. */
    void step() throws InterruptedException {
        String control = controls.get(ThreadLocalRandom.current().nextInt(controls.size()));
        try {
            if (pending == null) {
                from =
                        http.get(control, "/admin/rules", token, CALL_MILLIS)
                                .path("number")
                                .asLong();
                pending = text + "# edit " + edits++ + " by " + token + "\n";
            }
            ObjectNode edit = Http.MAPPER.createObjectNode().put("from", from).put("text", pending);
            HttpResponse<String> response =
                    http.post(control, "/admin/rules", token, edit.toString(), CALL_MILLIS);
            settle(response);
        } catch (IOException e) {
            Thread.onSpinWait();
        }
    }

    private void settle(HttpResponse<String> response) throws IOException {
        JsonNode json = Http.MAPPER.readTree(response.body());
        if (response.statusCode() == OK) {
            accepted.put(json.path("number").asLong(), System.currentTimeMillis());
            pending = null;
        } else if (response.statusCode() < 500) {
            pending = null;
        }
    }

    /** Returns the accepted numbers with the time of their acceptance. */
    Map<Long, Long> accepted() {
        return accepted;
    }

    /** Returns the newest number accepted before {@code millis}, 0 for none. */
    long newestBefore(long millis) {
        return accepted.entrySet().stream()
                .filter(e -> e.getValue() <= millis)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }
}
