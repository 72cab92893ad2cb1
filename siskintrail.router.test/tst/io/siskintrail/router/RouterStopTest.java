package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.fake.FakeService;
import io.siskintrail.fake.FakeServiceSettings;
import io.siskintrail.router.internal.account.ApiKeys;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls of plain services that are open when a router is asked to stop. */
@Timeout(120)
class RouterStopTest {
    private static final String API_KEY = "caller-key";
    private static final String ANNOUNCE_TOKEN = "announce-token";

    /** Time of a call; longer than the stop's wait for the balancer. */
    private static final int ANSWER_MILLIS = 2_500;

    private static final long SENT_MILLIS = 500;
    private static final int MAX_POLLS = 400;
    private static final long POLL_MILLIS = 25;

    private final HttpClient http = HttpClient.newHttpClient();
    private RouterService router;
    private FakeService service;

    @BeforeEach
    void start() throws Exception {
        router = new RouterService(settings());
        router.start();
        service =
                new FakeService(
                        new FakeServiceSettings(
                                "depot-0",
                                "local",
                                "127.0.0.1:0",
                                "depot",
                                64,
                                ANSWER_MILLIS,
                                List.of(router.httpAddress()),
                                ANNOUNCE_TOKEN));
        service.start();
        awaitEndpoint();
    }

    @AfterEach
    void stop() {
        service.stop();
    }

    /** Guards against a call that is at its endpoint and is cut off by the stop. */
    @Test
    void repeatableCallIsAnsweredWhenTheRouterStops() throws Exception {
        CompletableFuture<HttpResponse<String>> answer =
                http.sendAsync(call(), HttpResponse.BodyHandlers.ofString());
        TimeUnit.MILLISECONDS.sleep(SENT_MILLIS);

        router.stop();

        assertThat(answer.get(ANSWER_MILLIS, TimeUnit.MILLISECONDS).statusCode()).isEqualTo(200);
    }

    private HttpRequest call() {
        return HttpRequest.newBuilder(
                        URI.create(
                                "http://%s/services/depot/stock".formatted(router.httpAddress())))
                .header("Authorization", "Bearer " + API_KEY)
                .build();
    }

    /** Waits until the router sends calls to the endpoint. */
    private void awaitEndpoint() throws Exception {
        int status = 0;
        for (int i = 0; i < MAX_POLLS && status != 200; i++) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            status = http.send(call(), HttpResponse.BodyHandlers.discarding()).statusCode();
        }
        assertThat(status).isEqualTo(200);
    }

    private static RouterSettings settings() {
        return new RouterSettings(
                "host-0",
                "local",
                "127.0.0.1:0",
                "127.0.0.1:0",
                "shared-key",
                ANNOUNCE_TOKEN,
                List.of(),
                List.of(),
                List.of(new RouterSettings.Account("hekla", ApiKeys.hashOf(API_KEY))),
                null,
                List.of());
    }
}
