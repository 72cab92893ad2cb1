package io.siskintrail.bench.promises;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

/** Streams one completion and reconnects through the balancer until it has an end. */
final class GenerationCaller {
    private static final String DATA = "data: ";
    private static final String ID = "id: ";
    private static final String DONE = "[DONE]";
    private static final int MAX_CONNECTIONS = 60;
    private static final long RETRY_MILLIS = 500;
    private static final long STREAM_MILLIS = 120_000;

    private final Http http;
    private final Balancer balancer;
    private final String key;
    private final String model;
    private final String prompt;
    private final long seed;
    private final int wanted;
    private final List<Integer> offsets = new ArrayList<>();
    private final List<Integer> tokens = new ArrayList<>();
    private String lastEventId;
    private String lastRouter = "-";
    private String lastFault = "-";
    private boolean ambiguous;

    GenerationCaller(
            Http http,
            Balancer balancer,
            String key,
            String model,
            String prompt,
            long seed,
            int wanted) {
        this.http = http;
        this.balancer = balancer;
        this.key = key;
        this.model = model;
        this.prompt = prompt;
        this.seed = seed;
        this.wanted = wanted;
    }

    /** Returns the router that the stream is connected to or was connected to last. */
    String lastRouter() {
        return lastRouter;
    }

    /** Returns what broke the last connection, "-" for nothing. */
    String lastFault() {
        return lastFault;
    }

    GenerationEvidence run(String apiKey) throws InterruptedException {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            GenerationEvidence evidence = connect(apiKey);
            if (evidence != null) {
                return evidence;
            }
            Thread.sleep(RETRY_MILLIS);
        }
        return evidence(GenerationEvidence.End.CUT, 0, lastRouter + " " + lastFault);
    }

    /** Returns the evidence when the answer has an end, null when the caller has to reconnect. */
    private GenerationEvidence connect(String apiKey) throws InterruptedException {
        lastRouter = balancer.pick();
        try {
            HttpResponse<Stream<String>> response =
                    http.client().send(request(apiKey), HttpResponse.BodyHandlers.ofLines());
            try (Stream<String> lines = response.body()) {
                return read(lines.iterator());
            }
        } catch (IOException | UncheckedIOException e) {
            lastFault = "connection: " + e.getMessage();
            ambiguous = true;
            return null;
        }
    }

    private HttpRequest request(String apiKey) {
        ObjectNode json = Http.MAPPER.createObjectNode();
        json.put("model", model).put("prompt", prompt).put("seed", seed);
        json.put("max_tokens", wanted).put("stream", true);
        HttpRequest.Builder builder =
                Http.request(lastRouter, "/v1/completions", apiKey, STREAM_MILLIS)
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString(json.toString()));
        if (lastEventId != null) {
            builder.header("Last-Event-ID", lastEventId);
        }
        return builder.build();
    }

    private GenerationEvidence read(Iterator<String> lines) throws IOException {
        String id = null;
        while (lines.hasNext()) {
            String line = lines.next();
            if (line.startsWith(ID)) {
                id = line.substring(ID.length());
                continue;
            }
            String data = line.startsWith(DATA) ? line.substring(DATA.length()) : line;
            if (data.equals(DONE)) {
                return evidence(GenerationEvidence.End.WHOLE, 0, "");
            }
            if (data.startsWith("{")) {
                JsonNode json = Http.MAPPER.readTree(data);
                if (json.has("error")) {
                    return told(json.path("error"));
                }
                take(id, json.path("choices").path(0));
            }
        }
        lastFault = "stream ended without an end";
        ambiguous = true;
        return null;
    }

    private void take(String id, JsonNode choice) {
        choice.path("token_ids").forEach(n -> tokens.add(n.asInt()));
        if (id != null && !choice.path("token_ids").isEmpty()) {
            lastEventId = id;
            offsets.add(Integer.parseInt(id.split("/", 2)[0]));
        }
    }

    private GenerationEvidence told(JsonNode error) {
        int code = error.path("number").asInt();
        lastFault = "told " + code + " " + error.path("message").asText();
        if (ResultCodes.isNotRun(code) && ambiguous) {
            return null;
        }
        return evidence(GenerationEvidence.End.TOLD, code, error.path("message").asText());
    }

    private GenerationEvidence evidence(GenerationEvidence.End end, int code, String detail) {
        return new GenerationEvidence(
                prompt, seed, wanted, List.copyOf(offsets), List.copyOf(tokens), end, code, detail);
    }
}
