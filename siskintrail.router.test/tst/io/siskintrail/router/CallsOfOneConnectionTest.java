package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.fake.EngineFault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Callers that send many requests over one connection, one behind the other or all at once. */
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallsOfOneConnectionTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CONNECTIONS = 4;
    private static final int ROUNDS = 4;
    private static final int TOKENS = 12;
    private static final int LOST_AT = 5;
    private static final int ENGINES = 2;
    private static final String DATA = "data:";

    private RouterFixture router;

    /** When a caller writes its requests. */
    enum Writing {
        EACH_AFTER_THE_LAST_ANSWER,
        ALL_AT_ONCE
    }

    private record Call(String request, String expected) {}

    @BeforeEach
    void start() throws Exception {
        router = new RouterFixture(ENGINES);
    }

    @AfterEach
    void stop() {
        router.close();
    }

    @ParameterizedTest
    @EnumSource(Writing.class)
    void answersComeInTheOrderOfTheirRequests(Writing writing) {
        router.engines().forEach(e -> e.inject(EngineFault.RESET, LOST_AT));
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int c = 0; c < CONNECTIONS; c++) {
            List<Call> calls = calls(c);
            all.add(CompletableFuture.runAsync(() -> exchange(calls, writing)));
        }
        all.forEach(CompletableFuture::join);
    }

    @Test
    void answerThatACallerLeftReachesNoOther() throws Exception {
        for (int i = 0; i < ROUNDS * CONNECTIONS; i++) {
            Call left = stream("left " + i, "l" + i, i);
            Call behind = stream("behind " + i, "b" + i, i);
            try (RawCaller caller = new RawCaller(router.address())) {
                caller.write(left.request() + behind.request());
                String line = caller.line();
                while (!line.startsWith(DATA)) {
                    line = caller.line();
                }
            }
            Call again = i % 2 == 0 ? left : stream("other " + i, "o" + i, i);
            exchange(List.of(again, behind), Writing.ALL_AT_ONCE);
        }
    }

    private void exchange(List<Call> calls, Writing writing) {
        try (RawCaller caller = new RawCaller(router.address())) {
            if (writing == Writing.ALL_AT_ONCE) {
                StringBuilder all = new StringBuilder();
                calls.forEach(c -> all.append(c.request()));
                caller.write(all.toString());
            }
            for (Call call : calls) {
                if (writing == Writing.EACH_AFTER_THE_LAST_ANSWER) {
                    caller.write(call.request());
                }
                assertThat(told(caller.read())).isEqualTo(call.expected());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns calls of all kinds; no two of them have the same answer but those of one key. */
    private static List<Call> calls(int connection) {
        List<Call> calls = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            String name = connection + "-" + round;
            long seed = connection * ROUNDS + round;
            Call stream = stream("chairs " + name, "s" + name, seed);
            calls.add(stream);
            calls.add(whole("tables " + name, "w" + name, seed));
            calls.add(stream);
            calls.add(new Call(post("w" + name, json("other", seed, false)), "number 1008"));
            calls.add(new Call(get("/gone/" + name), "status 404"));
            calls.add(whole("beds " + name, "x" + name, seed));
        }
        return calls;
    }

    private static Call stream(String prompt, String key, long seed) {
        return new Call(post(key, json(prompt, seed, true)), answer(prompt, seed));
    }

    private static Call whole(String prompt, String key, long seed) {
        return new Call(post(key, json(prompt, seed, false)), answer(prompt, seed));
    }

    private static String answer(String prompt, long seed) {
        return "200 " + RouterFixture.expectedText(prompt, seed, TOKENS);
    }

    private static String json(String prompt, long seed, boolean stream) {
        return ("{\"model\":\"quoting\",\"prompt\":\"%s\",\"max_tokens\":%d,"
                        + "\"seed\":%d,\"stream\":%b}")
                .formatted(prompt, TOKENS, seed, stream);
    }

    private static String post(String key, String body) {
        return ("POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\n"
                        + "Idempotency-Key: %s\r\nContent-Type: application/json\r\n"
                        + "Content-Length: %d\r\n\r\n%s")
                .formatted(RouterFixture.API_KEY, key, body.length(), body);
    }

    private static String get(String path) {
        return "GET %s HTTP/1.1\r\nHost: router\r\n\r\n".formatted(path);
    }

    private static String told(RawCaller.Answer answer) throws IOException {
        if (answer.status() == 200) {
            return "200 " + (answer.body().startsWith("{") ? text(answer.body()) : events(answer));
        }
        JsonNode number = MAPPER.readTree(answer.body()).path("error").path("number");
        return answer.status() == 404 ? "status 404" : "number " + number.asInt();
    }

    private static String events(RawCaller.Answer answer) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : answer.body().split("\n")) {
            String data = line.startsWith(DATA) ? line.substring(DATA.length()).trim() : "";
            if (data.startsWith("{")) {
                text.append(text(data));
            }
        }
        return text.toString();
    }

    private static String text(String json) throws IOException {
        return MAPPER.readTree(json).path("choices").path(0).path("text").asText();
    }
}
