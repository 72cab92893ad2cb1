package io.siskintrail.router.internal.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.siskintrail.router.internal.client.EndpointClients;
import java.time.Duration;
import java.util.function.Consumer;
import reactor.core.publisher.Mono;

/**
 * Asks endpoints for their status at {@code /endpoint/status}. A status names no question, so each
 * question has a connection of its own, on which no answer to an earlier one can come.
 */
final class EndpointStatusClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;

    /**
     * What an endpoint says of itself.
     *
     * @param incarnation its incarnation
     * @param leaving whether it takes no new work
     */
    record Status(long incarnation, boolean leaving) {}

    EndpointStatusClient() {
        DefaultHttpClientConfiguration config = new DefaultHttpClientConfiguration();
        config.setConnectTimeout(TIMEOUT);
        config.setReadTimeout(TIMEOUT);
        client = EndpointClients.create(config);
    }

    /** Asks {@code address}; calls {@code onStatus} on any thread, or not at all on a failure. */
    void ask(String address, Consumer<Status> onStatus) {
        Mono.from(client.retrieve(HttpRequest.GET("http://" + address + "/endpoint/status")))
                .subscribe(body -> parse(body, onStatus), error -> {});
    }

    @Override
    public void close() {
        client.close();
    }

    private static void parse(String body, Consumer<Status> onStatus) {
        try {
            JsonNode json = MAPPER.readTree(body);
            if (json.path("incarnation").isIntegralNumber() && json.path("leaving").isBoolean()) {
                onStatus.accept(
                        new Status(
                                json.path("incarnation").asLong(),
                                json.path("leaving").asBoolean()));
            }
        } catch (JsonProcessingException ignored) {
            // An endpoint without a readable status gives no evidence.
        }
    }
}
