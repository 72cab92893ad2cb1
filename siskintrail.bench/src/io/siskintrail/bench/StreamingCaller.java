package io.siskintrail.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

/** A caller that streams completions over HTTP and keeps what it was sent. */
final class StreamingCaller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String DATA_DONE = "data: [DONE]";
    private static final long POLL_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final String address;
    private final String apiKey;

    StreamingCaller(String address, String apiKey) {
        this.address = address;
        this.apiKey = apiKey;
    }

    /** Waits until the router takes work and lists a model. */
    void awaitModels(int endpoints, long timeoutMillis) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
        while (System.nanoTime() < deadline) {
            HttpResponse<String> response =
                    client.send(
                            builder("/v1/models").GET().build(),
                            HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() == 200
                    && ready()
                    && MAPPER.readTree(response.body()).path("data").size() > 0) {
                Thread.sleep(POLL_MILLIS * endpoints);
                return;
            }
            Thread.sleep(POLL_MILLIS);
        }
        throw new IOException("router at " + address + " lists no model");
    }

    private boolean ready() throws IOException, InterruptedException {
        return client.send(
                                builder("/health/ready").GET().build(),
                                HttpResponse.BodyHandlers.discarding())
                        .statusCode()
                == 200;
    }

    /**
     * Streams one completion.
     *
     * @param onToken called with the number of tokens received so far
     */
    Answer complete(String model, String prompt, long seed, int maxTokens, IntConsumer onToken)
            throws IOException, InterruptedException {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("model", model).put("prompt", prompt).put("seed", seed);
        json.put("max_tokens", maxTokens).put("stream", true);
        HttpRequest request =
                builder("/v1/completions")
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(json.toString()))
                        .build();
        HttpResponse<Stream<String>> response =
                client.send(request, HttpResponse.BodyHandlers.ofLines());
        Answer answer = new Answer();
        Iterator<String> lines = response.body().iterator();
        while (lines.hasNext()) {
            answer.accept(lines.next(), onToken);
        }
        return answer;
    }

    private HttpRequest.Builder builder(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Authorization", "Bearer " + apiKey);
    }

    /** What a caller was sent. */
    static final class Answer {
        private final List<Integer> tokens = new ArrayList<>();
        private final StringBuilder text = new StringBuilder();
        private boolean done;
        private String error;
        private long lastNanos;
        private long longestGapNanos;

        List<Integer> tokens() {
            return tokens;
        }

        String text() {
            return text.toString();
        }

        boolean done() {
            return done;
        }

        /** Returns the error event, or null when there was none. */
        String error() {
            return error;
        }

        long longestGapNanos() {
            return longestGapNanos;
        }

        private void accept(String line, IntConsumer onToken) throws IOException {
            if (line.equals(DATA_DONE)) {
                done = true;
                return;
            }
            if (!line.startsWith(DATA)) {
                return;
            }
            JsonNode json = MAPPER.readTree(line.substring(DATA.length()));
            if (json.has("error")) {
                error = json.path("error").toString();
                return;
            }
            JsonNode choice = json.path("choices").path(0);
            choice.path("token_ids").forEach(n -> tokens.add(n.asInt()));
            text.append(choice.path("text").asText());
            long now = System.nanoTime();
            if (lastNanos != 0) {
                longestGapNanos = Math.max(longestGapNanos, now - lastNanos);
            }
            lastNanos = now;
            onToken.accept(tokens.size());
        }
    }
}
