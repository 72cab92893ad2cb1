package io.siskintrail.bench.promises;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** Places one order and sends it again, with the same key, until it is told how it ended. */
final class OrderCaller {
    private static final int MAX_SENDS = 40;
    private static final long RETRY_MILLIS = 250;
    private static final long ANSWER_MILLIS = 4_000;
    private static final int OK = 200;

    private final Http http;
    private final Balancer balancer;
    private final String key;
    private boolean ambiguous;

    OrderCaller(Http http, Balancer balancer, String key) {
        this.http = http;
        this.balancer = balancer;
        this.key = key;
    }

    OrderEvidence run(String path, String apiKey) throws InterruptedException {
        for (int i = 0; i < MAX_SENDS; i++) {
            HttpRequest post =
                    Http.request(balancer.pick(), path, apiKey, ANSWER_MILLIS)
                            .header("Idempotency-Key", key)
                            .POST(
                                    HttpRequest.BodyPublishers.ofString(
                                            "{\"order\":\"" + key + "\"}"))
                            .build();
            try {
                HttpResponse<String> response =
                        http.client().send(post, HttpResponse.BodyHandlers.ofString());
                OrderEvidence evidence = evidence(response);
                if (!ambiguous || !ResultCodes.isNotRun(evidence.code())) {
                    return evidence;
                }
            } catch (IOException e) {
                ambiguous = true;
            }
            Thread.sleep(RETRY_MILLIS);
        }
        return new OrderEvidence(key, 0, null);
    }

    private OrderEvidence evidence(HttpResponse<String> response) throws IOException {
        if (response.statusCode() != OK) {
            return new OrderEvidence(key, Http.code(response.body()), null);
        }
        JsonNode json = Http.MAPPER.readTree(response.body());
        return new OrderEvidence(key, 0, json.path("key").asText());
    }
}
