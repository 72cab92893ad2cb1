package io.siskintrail.router;

import io.siskintrail.fake.FakeEngine;
import io.siskintrail.fake.FakeEngineSettings;
import io.siskintrail.fake.FakeTokens;
import io.siskintrail.lib.ModelId;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.service.OperatorTokens;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

/** A router and fake engines in this process, for tests over real sockets. */
final class RouterFixture implements AutoCloseable {
    static final ModelId MODEL = new ModelId("quoting", "", "v1");
    static final String API_KEY = "test-key";
    private static final String ANNOUNCE_TOKEN = "test-announce";
    private static final long POLL_MILLIS = 20;
    private static final long READY_MILLIS = 60_000;

    static final String OPERATOR_TOKEN = "token-of-huda";

    private final RouterService router;
    private final List<FakeEngine> engines = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();

    RouterFixture(int engineCount) throws Exception {
        router = new RouterService(settings());
        router.start();
        for (int i = 0; i < engineCount; i++) {
            FakeEngine engine = new FakeEngine(engine("engine-" + i));
            engine.start();
            engines.add(engine);
        }
        awaitModel(engineCount > 0);
    }

    String address() {
        return router.httpAddress();
    }

    List<FakeEngine> engines() {
        return engines;
    }

    HttpResponse<String> get(String path, String token) throws Exception {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address() + path));
        if (token != null) {
            builder.header("Authorization", "Bearer " + token);
        }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(String path, String key, String body) throws Exception {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address() + path))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            builder.header("Authorization", "Bearer " + key);
        }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }

    static String expectedText(String prompt, long seed, int tokens) {
        FakeTokens all = new FakeTokens(MODEL, prompt, seed);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(FakeTokens.text(all.next()));
        }
        return text.toString();
    }

    @Override
    public void close() {
        engines.forEach(FakeEngine::stop);
        router.stop();
    }

    private void awaitModel(boolean wanted) throws Exception {
        long deadline = System.currentTimeMillis() + READY_MILLIS;
        while (wanted && System.currentTimeMillis() < deadline) {
            HttpRequest models =
                    HttpRequest.newBuilder(URI.create("http://" + address() + "/v1/models"))
                            .build();
            String body = client.send(models, HttpResponse.BodyHandlers.ofString()).body();
            if (body.contains(MODEL.model())) {
                return;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private static RouterSettings settings() {
        return new RouterSettings(
                "host-1",
                "local",
                "127.0.0.1:0",
                "127.0.0.1:0",
                "test-shared-key",
                ANNOUNCE_TOKEN,
                List.of(),
                List.of(),
                List.of(new RouterSettings.Account("clinic", ApiKeys.hashOf(API_KEY))),
                new RouterSettings.Limits(100_000, 8_192, 1_000, 10_000),
                List.of(
                        new OperatorTokens.Operator(
                                "huda", OperatorTokens.hashOf(OPERATOR_TOKEN))));
    }

    private FakeEngineSettings engine(String id) {
        return new FakeEngineSettings(
                id,
                "local",
                "127.0.0.1:0",
                List.of(MODEL),
                8,
                1,
                5,
                true,
                List.of(address()),
                ANNOUNCE_TOKEN);
    }
}
