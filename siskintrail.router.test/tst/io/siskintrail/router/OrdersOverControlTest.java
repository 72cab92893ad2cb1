package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.control.ControlService;
import io.siskintrail.control.ControlSettings;
import io.siskintrail.fake.FakeService;
import io.siskintrail.fake.FakeServiceSettings;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.service.OperatorTokens;
import io.siskintrail.testkit.FreePorts;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An order through a router and a control service that keeps its log in files. */
class OrdersOverControlTest {
    private static final String TOKEN = "announce-token";
    private static final String OPERATOR_TOKEN = "operator-token";
    private static final String SHARED_KEY = "shared-key";
    private static final String EDIT =
            "{\"from\":0,\"text\":\"at-most-once service=depot method=POST path=/orders"
                    + " key=header:Idempotency-Key # Amman\\n\"}";
    private static final int TRIES = 150;
    private static final long TRY_MILLIS = 100;

    @TempDir Path data;
    private final HttpClient http = HttpClient.newHttpClient();
    private final String controlPeer = FreePorts.address();
    private final String routerPeer = FreePorts.address();
    private ControlService control;
    private RouterService router;
    private FakeService service;

    @BeforeEach
    void start() {
        control = startControl();
        router =
                new RouterService(
                        new RouterSettings(
                                "host-1",
                                "local",
                                "127.0.0.1:0",
                                routerPeer,
                                SHARED_KEY,
                                TOKEN,
                                List.of(),
                                List.of(new RouterSettings.Peer("control", "local", controlPeer)),
                                List.of(
                                        new RouterSettings.Account(
                                                "amman", ApiKeys.hashOf("caller-key"))),
                                null));
        router.start();
        service =
                new FakeService(
                        new FakeServiceSettings(
                                "depot-1",
                                "local",
                                "127.0.0.1:0",
                                "depot",
                                8,
                                5,
                                List.of(router.httpAddress()),
                                TOKEN));
        service.start();
    }

    @AfterEach
    void stop() {
        service.stop();
        router.stop();
        control.stop();
    }

    @Test
    void answerIsReplayedAfterControlStartedAgainFromItsFiles() throws Exception {
        untilOk("rules", () -> send(post(control.httpAddress() + "/admin/rules", EDIT)));
        HttpResponse<String> first = untilOk("first order", () -> send(order()));
        assertThat(first.headers().firstValue("Siskintrail-Replayed")).isEmpty();
        control.stop();
        control = startControl();
        HttpResponse<String> second = untilOk("repeat", () -> send(order()));
        assertThat(second.headers().firstValue("Siskintrail-Replayed")).hasValue("true");
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(service.executions()).containsEntry("k1", 1);
    }

    private ControlService startControl() {
        ControlService started =
                new ControlService(
                        new ControlSettings(
                                "control",
                                "local",
                                "127.0.0.1:0",
                                controlPeer,
                                SHARED_KEY,
                                data.toString(),
                                List.of(),
                                List.of("control"),
                                List.of(new ControlSettings.Peer("host-1", "local", routerPeer)),
                                List.of(
                                        new OperatorTokens.Operator(
                                                "op", OperatorTokens.hashOf(OPERATOR_TOKEN)))));
        started.start();
        return started;
    }

    private HttpRequest order() {
        return HttpRequest.newBuilder(
                        URI.create("http://" + router.httpAddress() + "/services/depot/orders"))
                .header("Authorization", "Bearer caller-key")
                .header("Idempotency-Key", "k1")
                .header("Prefer", "wait=5")
                .POST(HttpRequest.BodyPublishers.ofString("40 chairs"))
                .build();
    }

    private static HttpRequest post(String address, String json) {
        return HttpRequest.newBuilder(URI.create("http://" + address))
                .header("Authorization", "Bearer " + OPERATOR_TOKEN)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
    }

    private HttpResponse<String> send(HttpRequest request) throws Exception {
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Something that is tried again until it answers 200. */
    private interface Attempt {
        HttpResponse<String> run() throws Exception;
    }

    private static HttpResponse<String> untilOk(String what, Attempt attempt) throws Exception {
        HttpResponse<String> last = attempt.run();
        for (int i = 0; i < TRIES && last.statusCode() != 200; i++) {
            Thread.sleep(TRY_MILLIS);
            last = attempt.run();
        }
        assertThat(what + " " + last.statusCode()).isEqualTo(what + " 200");
        return last;
    }
}
