package io.siskintrail.fake;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.ModelId;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Renews the lease of one fake endpoint at one router at a time, at the next when one fails. */
final class Announcer {
    private static final long RENEW_MILLIS = 500;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(
                    2,
                    task -> {
                        Thread t = new Thread(task, "fake-announce");
                        t.setDaemon(true);
                        return t;
                    });

    private final FakeAnnouncement target;
    private final EndpointInfo info;
    private final FakeEndpoint endpoint;
    private volatile boolean leaving;
    private volatile boolean paused;
    private volatile boolean stopped;
    private volatile int current;
    private volatile String stamp = "";

    Announcer(FakeAnnouncement target, EndpointInfo info, FakeEndpoint endpoint) {
        this.target = target;
        this.info = info;
        this.endpoint = endpoint;
    }

    void start() {
        if (!target.routers().isEmpty()) {
            TIMER.execute(this::renew);
        }
    }

    void setPaused(boolean paused) {
        this.paused = paused;
    }

    void leave() {
        leaving = true;
        announce();
    }

    void stop() {
        leave();
        stopped = true;
    }

    void stopSilently() {
        stopped = true;
    }

    private void renew() {
        if (stopped) {
            return;
        }
        if (!paused) {
            announce();
        }
        TIMER.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        List<String> routers = target.routers();
        if (routers.isEmpty() || stopped) {
            return;
        }
        int at = Math.floorMod(current + info.id().hashCode(), routers.size());
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + routers.get(at) + "/endpoints/announce"))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .header("Authorization", "Bearer " + target.token())
                        .POST(HttpRequest.BodyPublishers.ofString(body()))
                        .build();
        CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete((response, error) -> onAnswer(response, error));
    }

    private void onAnswer(HttpResponse<String> response, Throwable error) {
        if (error != null || response.statusCode() != 200) {
            stamp = "";
            current++;
            return;
        }
        try {
            stamp = MAPPER.readTree(response.body()).path("stamp").asText();
        } catch (JsonProcessingException e) {
            stamp = "";
        }
    }

    /** Returns the answer to a router that asks whether the endpoint takes work. */
    String status() {
        return "{\"incarnation\":%d,\"leaving\":%b}".formatted(info.incarnation(), leaving);
    }

    private String body() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("id", info.id().value());
        json.put("address", info.address());
        json.put("kind", info.kind().name());
        json.put("domain", info.domain().value());
        ArrayNode models = json.putArray("models");
        for (ModelId m : info.models()) {
            models.addObject()
                    .put("model", m.model())
                    .put("adapter", m.adapter())
                    .put("version", m.version());
        }
        ArrayNode services = json.putArray("services");
        info.services().forEach(s -> services.add(s.value()));
        json.put("slots", info.slots());
        json.put("checksFencing", info.checksFencing());
        json.put("incarnation", info.incarnation());
        json.put("leaving", leaving);
        json.put("stamp", stamp);
        json.put("running", endpoint.running());
        json.put("waiting", endpoint.waiting());
        return json.toString();
    }
}
