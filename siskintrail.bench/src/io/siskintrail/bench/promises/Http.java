package io.siskintrail.bench.promises;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Small HTTP calls with JSON answers. */
final class Http {
    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    HttpClient client() {
        return client;
    }

    static HttpRequest.Builder request(String address, String path, String token, long millis) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(millis))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + token);
    }

    /** Returns the JSON answer to a GET. */
    JsonNode get(String address, String path, String token, long millis)
            throws IOException, InterruptedException {
        HttpRequest get = request(address, path, token, millis).GET().build();
        return MAPPER.readTree(client.send(get, HttpResponse.BodyHandlers.ofString()).body());
    }

    /** Sends a POST; returns the answer whatever its status. */
    HttpResponse<String> post(String address, String path, String token, String body, long millis)
            throws IOException, InterruptedException {
        HttpRequest post =
                request(address, path, token, millis)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return client.send(post, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the result code in an error body, 0 when there is none. */
    static int code(String body) {
        try {
            return MAPPER.readTree(body).path("error").path("number").asInt(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
