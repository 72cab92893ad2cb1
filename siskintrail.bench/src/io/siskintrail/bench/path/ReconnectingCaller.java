package io.siskintrail.bench.path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * A caller that streams one completion and, when its connection breaks or rests too long, connects
 * to another router with the same key and the id of the last event.
 */
final class ReconnectingCaller implements Runnable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String ID = "id:";
    private static final int CONNECT_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 50;
    private static final int MAX_CONNECTIONS = 200;
    private static final String NOT_RUN = "not_run";
    private static final String MOVED = "generation_moved";

    private final Supplier<String> addresses;
    private final String key;
    private final String prompt;
    private final long seed;
    private final int maxTokens;
    private final int silenceMillis;
    private final List<Integer> tokens = new ArrayList<>();
    private final List<Long> times = new ArrayList<>();
    private final List<Integer> offsets = new ArrayList<>();
    private String lastEventId;
    private volatile int received;
    private volatile boolean done;
    private volatile String error;
    private volatile HttpURLConnection http;
    private volatile int connections;

    /**
     * Prepares a caller.
     *
     * @param addresses names the router of the next connection
     * @param key the idempotency key
     * @param silenceMillis silence after which the caller connects again
     */
    ReconnectingCaller(
            Supplier<String> addresses,
            String key,
            String prompt,
            long seed,
            int maxTokens,
            int silenceMillis) {
        this.addresses = addresses;
        this.key = key;
        this.prompt = prompt;
        this.seed = seed;
        this.maxTokens = maxTokens;
        this.silenceMillis = silenceMillis;
    }

    @Override
    public void run() {
        while (!done && error == null) {
            if (++connections > MAX_CONNECTIONS) {
                error = "no end after " + MAX_CONNECTIONS + " connections";
                return;
            }
            try {
                stream();
            } catch (IOException e) {
                pause();
            }
        }
    }

    /** Breaks the connection, as a network fault would. */
    void cut() {
        HttpURLConnection open = http;
        if (open != null) {
            open.disconnect();
        }
    }

    int received() {
        return received;
    }

    int connections() {
        return connections;
    }

    boolean isOver() {
        return done || error != null;
    }

    boolean isDone() {
        return done;
    }

    /** Returns the error that ended the answer, null when there was none. */
    String error() {
        return error;
    }

    List<Integer> tokens() {
        return tokens;
    }

    /** Returns the offset behind each event, in the order of arrival. */
    List<Integer> offsets() {
        return offsets;
    }

    /** Returns when each token came, by {@link System#nanoTime()}. */
    List<Long> times() {
        return times;
    }

    private void stream() throws IOException {
        HttpURLConnection open =
                (HttpURLConnection)
                        URI.create("http://" + addresses.get() + "/v1/completions")
                                .toURL()
                                .openConnection();
        http = open;
        open.setConnectTimeout(CONNECT_MILLIS);
        open.setReadTimeout(silenceMillis);
        open.setDoOutput(true);
        open.setRequestProperty("Authorization", "Bearer " + PathDeployment.API_KEY);
        open.setRequestProperty("Content-Type", "application/json");
        open.setRequestProperty("Idempotency-Key", key);
        if (lastEventId != null) {
            open.setRequestProperty("Last-Event-ID", lastEventId);
        }
        open.getOutputStream().write(body());
        if (open.getResponseCode() != HttpURLConnection.HTTP_OK) {
            onError(new String(open.getErrorStream().readAllBytes(), StandardCharsets.UTF_8));
            return;
        }
        try (InputStream in = open.getInputStream();
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            read(lines);
        } finally {
            open.disconnect();
        }
    }

    private byte[] body() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("model", PathDeployment.MODEL.model()).put("prompt", prompt).put("seed", seed);
        json.put("max_tokens", maxTokens).put("stream", true);
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void read(BufferedReader lines) throws IOException {
        String data = null;
        String id = null;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.startsWith(DATA)) {
                data = line.substring(DATA.length()).trim();
            } else if (line.startsWith(ID)) {
                id = line.substring(ID.length()).trim();
            } else if (line.isEmpty() && data != null) {
                onEvent(data, id);
                data = null;
                id = null;
                if (isOver()) {
                    return;
                }
            }
        }
        if (!isOver()) {
            throw new IOException("stream ended early");
        }
    }

    private void onEvent(String data, String id) throws IOException {
        if (data.equals("[DONE]")) {
            done = true;
            return;
        }
        JsonNode json = MAPPER.readTree(data);
        if (json.has("error")) {
            onError(data);
            return;
        }
        for (JsonNode token : json.path("choices").path(0).path("token_ids")) {
            tokens.add(token.asInt());
            times.add(System.nanoTime());
        }
        received = tokens.size();
        if (id != null) {
            lastEventId = id;
            offsets.add(Integer.parseInt(id.substring(0, id.indexOf('/'))));
        }
    }

    private void onError(String body) throws IOException {
        String code = MAPPER.readTree(body).path("error").path("code").asText("unreadable");
        if (code.equals(MOVED) || code.startsWith(NOT_RUN)) {
            throw new IOException(code);
        }
        error = code;
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
