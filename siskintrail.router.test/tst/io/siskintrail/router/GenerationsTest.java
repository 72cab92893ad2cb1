package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.fake.EngineFault;
import io.siskintrail.fake.FakeEngine;
import io.siskintrail.fake.FakeEngineSettings;
import io.siskintrail.fake.FakeTokens;
import io.siskintrail.lib.ModelId;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Streamed answers over real sockets, with two routers as buddies and four engines. */
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class GenerationsTest {
    private static final ModelId MODEL = new ModelId("quoting", "", "v1");
    private static final String TOKEN = "announce-token";
    private static final String KEY = "caller-key";
    private static final String PROMPT = "Assess the chairs.";
    private static final int TOKENS = 40;
    private static final int ROUTERS = 2;
    private static final int ENGINES = 4;

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<RouterService> routers = new ArrayList<>();
    private final List<FakeEngine> engines = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        List<RouterSettings.Peer> peers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            peers.add(new RouterSettings.Peer("r" + i, "d" + i, FreePorts.address()));
        }
        for (int i = 0; i < ROUTERS; i++) {
            RouterService router =
                    new RouterService(settings(peers.get(i), List.of(peers.get(1 - i))));
            router.start();
            routers.add(router);
        }
        List<String> addresses = routers.stream().map(RouterService::httpAddress).toList();
        for (int i = 0; i < ENGINES; i++) {
            FakeEngine engine = new FakeEngine(engineSettings(i, addresses));
            engine.start();
            engines.add(engine);
        }
        awaitEngines();
    }

    @AfterEach
    void stop() {
        engines.forEach(FakeEngine::stop);
        routers.forEach(RouterService::abort);
    }

    @ParameterizedTest
    @EnumSource(EngineFault.class)
    void answerIsWholeWhateverAnEngineDoesToItsChunks(EngineFault fault) throws Exception {
        engines.forEach(e -> e.inject(fault, TOKENS / 2));
        assertThat(tokens(stream(0, "k-" + fault, PROMPT, null))).isEqualTo(expected(PROMPT));
    }

    @Test
    void restOfAnAnswerComesFromAnyRouter() throws Exception {
        List<String> events = stream(0, "k1", PROMPT, null);
        String id = ids(events).get(9);
        List<String> rest = stream(1, "k1", PROMPT, id);
        assertThat(tokens(rest)).isEqualTo(expected(PROMPT).subList(10, TOKENS));
    }

    @RepeatedTest(10)
    void secondRequestWithTheKeyJoinsAtAnotherRouter() throws Exception {
        CompletableFuture<List<Integer>> first =
                CompletableFuture.supplyAsync(() -> tokens(quietStream(0, "k2")));
        CompletableFuture<List<Integer>> second =
                CompletableFuture.supplyAsync(() -> tokens(quietStream(1, "k2")));
        assertThat(first.join()).isEqualTo(expected(PROMPT));
        assertThat(second.join()).isEqualTo(expected(PROMPT));
        assertThat(engines.stream().mapToLong(e -> e.state().startedStreams()).sum()).isEqualTo(1);
    }

    @Test
    void otherBodyUnderTheKeyIsRefused() throws Exception {
        stream(0, "k3", PROMPT, null);
        assertThat(send(1, "k3", "Other chairs.", null).body()).contains("\"number\":1008");
    }

    @Test
    void eventIdOfAnUnknownAnswerIsRefused() throws Exception {
        String id = "5/1/1/gone/r9";
        assertThat(send(0, "k4", PROMPT, id).body()).contains("\"number\":7003");
    }

    @Test
    void poisonousRequestIsQuarantinedOnAllRoutersAndLeavesEnginesAlive() throws Exception {
        engines.forEach(e -> e.dieOn("poison"));
        CompletableFuture<List<Integer>> bystander =
                CompletableFuture.supplyAsync(() -> tokens(quietStream(0, "k5")));
        assertThat(send(0, "k6", "poison", null).body()).contains("\"number\":7005");
        assertThat(send(1, "k7", "poison", null).body()).contains("\"number\":7005");
        assertThat(bystander.join()).isEqualTo(expected(PROMPT));
        assertThat(tokens(stream(1, "k8", PROMPT, null))).isEqualTo(expected(PROMPT));
    }

    private List<String> quietStream(int router, String key) {
        try {
            return stream(router, key, PROMPT, null);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<String> stream(int router, String key, String prompt, String lastEventId)
            throws IOException, InterruptedException {
        String body = send(router, key, prompt, lastEventId).body();
        assertThat(body).contains("[DONE]");
        return body.lines().toList();
    }

    private HttpResponse<String> send(int router, String key, String prompt, String lastEventId)
            throws IOException, InterruptedException {
        String json =
                ("{\"model\":\"quoting\",\"prompt\":\"%s\",\"max_tokens\":%d,"
                                + "\"seed\":7,\"stream\":true}")
                        .formatted(prompt, TOKENS);
        HttpRequest.Builder request =
                builder(router, "/v1/completions")
                        .header("Content-Type", "application/json")
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString(json));
        if (lastEventId != null) {
            request.header("Last-Event-ID", lastEventId);
        }
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static List<Integer> tokens(List<String> lines) {
        List<Integer> tokens = new ArrayList<>();
        for (String line : lines) {
            if (line.startsWith("data:") && line.contains("token_ids")) {
                try {
                    JsonNode json = new ObjectMapper().readTree(line.substring(5));
                    JsonNode ids = json.path("choices").path(0).path("token_ids");
                    ids.forEach(n -> tokens.add(n.asInt()));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
        return tokens;
    }

    private static List<String> ids(List<String> lines) {
        return lines.stream()
                .filter(line -> line.startsWith("id:"))
                .map(line -> line.substring(3).trim())
                .toList();
    }

    private static List<Integer> expected(String prompt) {
        FakeTokens right = new FakeTokens(MODEL, prompt, 7);
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < TOKENS; i++) {
            all.add(right.next());
        }
        return all;
    }

    private void awaitEngines() throws Exception {
        for (int i = 0; i < ROUTERS; i++) {
            HttpRequest models = builder(i, "/v1/models").GET().build();
            while (!http.send(models, HttpResponse.BodyHandlers.ofString())
                    .body()
                    .contains("quoting")) {
                Thread.sleep(20);
            }
        }
        Thread.sleep(1_000);
    }

    private HttpRequest.Builder builder(int router, String path) {
        String address = routers.get(router).httpAddress();
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Authorization", "Bearer " + KEY);
    }

    private static RouterSettings settings(
            RouterSettings.Peer own, List<RouterSettings.Peer> others) {
        return new RouterSettings(
                own.host(),
                own.domain(),
                "127.0.0.1:0",
                own.peerAddress(),
                "shared-key-of-test",
                TOKEN,
                others,
                List.of(),
                List.of(new RouterSettings.Account("clinic", ApiKeys.hashOf(KEY))),
                null,
                List.of());
    }

    private static FakeEngineSettings engineSettings(int number, List<String> routers) {
        return new FakeEngineSettings(
                "e" + number,
                "d" + number % ROUTERS,
                "127.0.0.1:0",
                List.of(MODEL),
                8,
                10,
                40,
                true,
                routers,
                TOKEN);
    }
}
