package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.fake.FakeService;
import io.siskintrail.fake.FakeServiceSettings;
import io.siskintrail.fake.ServiceFault;
import io.siskintrail.internal.control.ControlState;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.internal.rules.RulesCheck;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.control.LocalControlClient;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls of plain services over real sockets, with two routers on one log and two endpoints. */
class ServicesTest {
    private static final String TOKEN = "announce-token";
    private static final String RULES =
            """
            at-most-once service=depot method=POST path=/orders key=header:Idempotency-Key # Amman
            at-most-once service=depot method=POST path=/refills key=digest window=10s # Hekla
            """;

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<RouterService> routers = new ArrayList<>();
    private final int[] peerPorts = new int[2];
    private final List<FakeService> services = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        LocalControlClient<?, ?, ?> log =
                new LocalControlClient<>(
                        new ControlState(), new ControlStateCodec(), System::currentTimeMillis);
        RulesCheck check = RulesParser.parse(RULES);
        assertThat(check).isInstanceOf(RulesCheck.Accepted.class);
        RulesView rules = fixed(((RulesCheck.Accepted) check).rules());
        peerPorts[0] = FreePorts.next();
        peerPorts[1] = FreePorts.next();
        for (int i = 0; i < 2; i++) {
            RouterService router = new RouterService(settings(i), new ControlAccess(log, rules));
            router.start();
            routers.add(router);
        }
        for (int i = 0; i < 2; i++) {
            FakeService service = new FakeService(serviceSettings(i));
            service.start();
            services.add(service);
        }
        awaitEndpoints();
    }

    @AfterEach
    void stop() {
        routers.forEach(RouterService::stop);
        services.forEach(FakeService::stop);
    }

    @Test
    void repeatOnAnotherRouterGetsTheRecordedAnswer() throws Exception {
        HttpResponse<String> first = order(0, "k1", "chairs");
        HttpResponse<String> second = order(1, "k1", "chairs");
        assertThat(first.statusCode()).isEqualTo(200);
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(second.headers().firstValue("Siskintrail-Replayed")).hasValue("true");
        assertThat(executions("k1")).isEqualTo(1);
    }

    @Test
    void equalKeysAtTheSameMomentRunOnce() {
        List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(http.sendAsync(post(i % 2, "/orders", "k2", "chairs"), strings()));
        }
        List<String> bodies = all.stream().map(f -> f.join().body()).distinct().toList();
        assertThat(bodies).hasSize(1);
        assertThat(executions("k2")).isEqualTo(1);
    }

    @Test
    void otherContentUnderTheKeyIsRefused() throws Exception {
        order(0, "k3", "chairs");
        assertThat(order(1, "k3", "tables").body()).contains("\"number\":1008");
    }

    @ParameterizedTest
    @CsvSource({"RESET_BEFORE,0", "RESET_AFTER,1", "CUT_ANSWER,1"})
    void brokenCallIsUnknownAndNeverSentAgain(ServiceFault fault, int runs) throws Exception {
        inject(fault);
        assertThat(order(0, "k4", "chairs").body()).contains("\"number\":5001");
        assertThat(order(1, "k4", "chairs").body()).contains("\"number\":5001");
        assertThat(executions("k4")).isEqualTo(runs);
    }

    @Test
    void orderGoesToTheEndpointThatCanBeConnectedTo() throws Exception {
        services.get(0).refuse();
        for (String key : List.of("k5", "k6")) {
            assertThat(order(0, key, "chairs").statusCode()).isEqualTo(200);
            assertThat(executions(key)).isEqualTo(1);
        }
        services.get(0).accept();
    }

    @Test
    void orderThatReachesNoEndpointIsNotRunAndCanBeSentAgain() throws Exception {
        services.forEach(FakeService::refuse);
        assertThat(order(0, "k7", "chairs").body()).contains("\"number\":5004");
        services.forEach(FakeService::accept);
        assertThat(order(1, "k7", "chairs").statusCode()).isEqualTo(200);
        assertThat(executions("k7")).isEqualTo(1);
    }

    @Test
    void callerThatStopsWaitingLearnsTheAnswerLater() throws Exception {
        inject(ServiceFault.NO_ANSWER);
        assertThat(order(0, "k8", "chairs").body()).contains("\"number\":5002");
        assertThat(order(1, "k8", "chairs").body()).contains("\"number\":5002");
        assertThat(executions("k8")).isEqualTo(1);
        services.forEach(FakeService::refuse);
        assertThat(order(1, "k8", "chairs").body()).contains("\"number\":5001");
        services.forEach(FakeService::accept);
    }

    @Test
    void equalCallsWithoutAKeyRunOnceWithinTheWindow() throws Exception {
        http.send(post(0, "/refills", null, "saline"), strings());
        http.send(post(1, "/refills", null, "saline"), strings());
        assertThat(executions("POST /refills")).isEqualTo(1);
        http.send(post(1, "/refills", null, "dressings"), strings());
        assertThat(executions("POST /refills")).isEqualTo(2);
    }

    @Test
    void orderWithoutTheKeyThatTheRuleWantsIsRefused() throws Exception {
        assertThat(http.send(post(0, "/orders", null, "x"), strings()).body())
                .contains("\"number\":5008");
        assertThat(executions("POST /orders")).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"RESET_BEFORE", "RESET_AFTER"})
    void callThatMayBeRepeatedIsTriedOnAnotherEndpoint(ServiceFault fault) throws Exception {
        services.get(0).inject(fault);
        for (int i = 0; i < 2; i++) {
            HttpRequest call = post(0, "/stock?item=7", null, "q");
            assertThat(http.send(call, strings()).statusCode()).isEqualTo(200);
        }
    }

    private int executions(String key) {
        return services.stream().mapToInt(s -> s.executions().getOrDefault(key, 0)).sum();
    }

    private void inject(ServiceFault fault) {
        services.forEach(s -> s.inject(fault));
    }

    private HttpResponse<String> order(int router, String key, String body) throws Exception {
        return http.send(post(router, "/orders", key, body), strings());
    }

    private HttpRequest post(int router, String path, String key, String body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://%s/services/depot%s"
                                                .formatted(
                                                        routers.get(router).httpAddress(), path)))
                        .header("Authorization", "Bearer caller-key")
                        .header("Content-Type", "text/plain")
                        .header("Prefer", "wait=1")
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        return request.build();
    }

    private static HttpResponse.BodyHandler<String> strings() {
        return HttpResponse.BodyHandlers.ofString();
    }

    /** Waits until each router sends calls to each endpoint. */
    private void awaitEndpoints() throws Exception {
        for (int router = 0; router < 2; router++) {
            Set<String> reached = new HashSet<>();
            for (int i = 0; i < 400 && reached.size() < 2; i++) {
                Thread.sleep(25);
                int before = services.get(0).executions().getOrDefault("POST /stock", 0);
                if (http.send(post(router, "/stock", null, "q"), strings()).statusCode() == 200) {
                    int after = services.get(0).executions().getOrDefault("POST /stock", 0);
                    reached.add(after > before ? "first" : "second");
                }
            }
            assertThat(reached).hasSize(2);
        }
    }

    private static RulesView fixed(Rules rules) {
        return new RulesView() {
            @Override
            public Rules rules() {
                return rules;
            }

            @Override
            public boolean mayTakeWork() {
                return true;
            }
        };
    }

    private RouterSettings settings(int number) {
        int other = 1 - number;
        return new RouterSettings(
                "host-" + number,
                "local",
                "127.0.0.1:0",
                "127.0.0.1:" + peerPorts[number],
                "shared-key",
                TOKEN,
                List.of(
                        new RouterSettings.Peer(
                                "host-" + other, "local", "127.0.0.1:" + peerPorts[other])),
                List.of(),
                List.of(new RouterSettings.Account("hekla", ApiKeys.hashOf("caller-key"))),
                null,
                List.of());
    }

    private FakeServiceSettings serviceSettings(int number) {
        return new FakeServiceSettings(
                "depot-" + number,
                "local",
                "127.0.0.1:0",
                "depot",
                64,
                5,
                routers.stream().map(RouterService::httpAddress).toList(),
                TOKEN);
    }
}
