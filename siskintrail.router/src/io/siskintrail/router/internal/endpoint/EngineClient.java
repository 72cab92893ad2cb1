package io.siskintrail.router.internal.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.netty.DefaultHttpClient;
import io.micronaut.http.sse.Event;
import io.siskintrail.lib.Rank;
import io.siskintrail.router.internal.client.EndpointClients;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Flux;

/**
 * Streams the output of engines over HTTP. An answer names no attempt, so each attempt has a
 * connection of its own, on which no answer to an earlier one can come. Safe for use by several
 * threads.
 */
public final class EngineClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofHours(1);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PRIORITY_URGENT = 0;
    private static final int PRIORITY_BULK = 1;
    private static final String DONE = "[DONE]";

    private final DefaultHttpClient client;

    /** Opens the client. */
    public EngineClient() {
        DefaultHttpClientConfiguration config = new DefaultHttpClientConfiguration();
        config.setConnectTimeout(CONNECT_TIMEOUT);
        config.setReadTimeout(READ_TIMEOUT);
        client = EndpointClients.create(config);
    }

    /**
     * Runs an attempt. The stream errors when the connection ends before the output does;
     * cancelling the subscription closes the connection, which cancels the attempt.
     *
     * @param address {@code ip:port} of the engine
     * @param call what to run
     */
    public Flux<EngineChunk> run(String address, EngineCall call) {
        HttpRequest<?> request =
                HttpRequest.POST("http://" + address + "/v1/completions", body(call))
                        .contentType(MediaType.APPLICATION_JSON_TYPE)
                        .accept(MediaType.TEXT_EVENT_STREAM_TYPE);
        return Flux.from(client.eventStream(request, Argument.of(String.class)))
                .map(Event::getData)
                .takeWhile(data -> !data.equals(DONE))
                .map(EngineClient::parse);
    }

    @Override
    public void close() {
        client.close();
    }

    private static String body(EngineCall call) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("request_id", call.requestId());
        json.put("model", call.model().model());
        json.put("adapter", call.model().adapter());
        json.put("version", call.model().version());
        json.put("prompt", call.prompt());
        json.put("seed", call.seed());
        json.put("max_tokens", call.maxTokens());
        json.put("stream", true);
        json.put("priority", call.rank() == Rank.URGENT ? PRIORITY_URGENT : PRIORITY_BULK);
        ArrayNode prefix = json.putArray("prefix_token_ids");
        call.prefix().forEach(prefix::add);
        return json.toString();
    }

    private static EngineChunk parse(String data) {
        try {
            JsonNode json = MAPPER.readTree(data);
            List<Integer> tokens = new ArrayList<>();
            json.path("token_ids").forEach(n -> tokens.add(n.asInt()));
            return new EngineChunk(
                    json.path("offset").asLong(-1),
                    tokens,
                    json.path("text").asText(),
                    json.path("finish_reason").asText(null));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("engine sent a chunk that is not JSON", e);
        }
    }
}
