package io.siskintrail.bench.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.RouterService;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Sends one order again and again, to both routers, and keeps what it was told. */
final class Caller {
    private static final Set<Integer> NOT_RUN =
            Set.of(
                    ResultCode.ORDER_NOT_STARTED.number(),
                    ResultCode.ORDER_NOT_CONNECTED.number(),
                    ResultCode.ORDER_LEDGER_FULL.number(),
                    ResultCode.NO_ENDPOINT.number(),
                    ResultCode.NOT_RUN_SHUTTING_DOWN.number(),
                    ResultCode.NOT_RUN_RULES_STALE.number());
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(6);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();
    private final Deployment deployment;
    private final String key;
    private final List<Told> told = new ArrayList<>();
    private int requests;

    /**
     * What one request was told.
     *
     * @param request its id
     * @param code the result code; 0 for an answer, -1 when the connection broke
     * @param body the answer
     * @param ranBefore how often the order had run when the request was sent
     */
    record Told(String request, int code, String body, int ranBefore) {

        boolean isAnswer() {
            return code == 0;
        }

        boolean isNotRun() {
            return NOT_RUN.contains(code);
        }

        boolean isUnknown() {
            return code == ResultCode.ORDER_UNKNOWN.number();
        }

        boolean isFinal() {
            return isAnswer() || isUnknown();
        }
    }

    Caller(Deployment deployment, String key) {
        this.deployment = deployment;
        this.key = key;
    }

    /** Sends the order once and waits for what it is told. */
    Told send(int number) {
        String id;
        synchronized (this) {
            id = key + "-" + ++requests;
        }
        int ranBefore = deployment.executions(key);
        RouterService router = deployment.router(number);
        Told result = router == null ? broken(id, ranBefore) : send(router, id, ranBefore);
        synchronized (this) {
            told.add(result);
        }
        return result;
    }

    synchronized List<Told> told() {
        return List.copyOf(told);
    }

    private Told send(RouterService router, String id, int ranBefore) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + router.httpAddress()
                                                + "/services/depot/orders"))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + Deployment.API_KEY)
                        .header("Idempotency-Key", key)
                        .header("X-Request-Id", id)
                        .header("Prefer", "wait=2")
                        .POST(HttpRequest.BodyPublishers.ofString("40 chairs"))
                        .build();
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            JsonNode error = MAPPER.readTree(response.body()).path("error");
            int code = response.statusCode() == OK ? 0 : error.path("number").asInt(-1);
            return new Told(id, code, response.body(), ranBefore);
        } catch (IOException e) {
            return broken(id, ranBefore);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return broken(id, ranBefore);
        }
    }

    private static Told broken(String id, int ranBefore) {
        return new Told(id, -1, "", ranBefore);
    }
}
