package io.siskintrail.router.internal.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.router.Stutter;
import io.siskintrail.router.StutteringEndpoint;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

/** Attempts at an engine that answers twice, the second time late, over real sockets. */
@Timeout(60)
class EngineSecondAnswerTest {
    private static final Duration ANSWER = Duration.ofSeconds(5);
    private static final Stutter QUIET =
            new Stutter(200, 200, Stutter.Moment.NEXT, Stutter.Form.WHOLE, 200);
    private static final int ATTEMPTS = 20;

    private final EngineClient engines = new EngineClient();

    @AfterEach
    void close() {
        engines.close();
    }

    @ParameterizedTest
    @MethodSource("io.siskintrail.router.Stutter#all")
    void attemptGetsNoLateAnswerOfAnEarlierOne(Stutter stutter) throws Exception {
        try (StutteringEndpoint engine =
                new StutteringEndpoint(stutter, EngineSecondAnswerTest::answer)) {
            assertThat(run(engine, 1)).isEqualTo(expected(stutter.first(), "first"));
            engine.awaitMoment();
            assertThat(run(engine, 2)).isEqualTo(expected(stutter.next(), "next"));
        }
    }

    @Test
    void connectionCarriesOneAttemptAndEndsWithIt() throws Exception {
        try (StutteringEndpoint engine =
                new StutteringEndpoint(QUIET, EngineSecondAnswerTest::answer)) {
            for (int i = 0; i < ATTEMPTS; i++) {
                run(engine, i);
            }
            assertThat(engine.requestsByConnection()).isEqualTo(ones());
            awaitClosed(engine);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void connectionOfACancelledAttemptIsNotUsedAgain(int chunks) throws Exception {
        try (StutteringEndpoint engine =
                new StutteringEndpoint(QUIET, (status, label) -> unended(label))) {
            for (int i = 0; i < ATTEMPTS; i++) {
                List<EngineChunk> had =
                        engines.run(engine.address(), call(i))
                                .take(chunks)
                                .collectList()
                                .block(ANSWER);
                assertThat(had).hasSize(chunks);
            }
            assertThat(engine.requestsByConnection()).isEqualTo(ones());
        }
    }

    private static List<Integer> ones() {
        return Collections.nCopies(ATTEMPTS, 1);
    }

    private static void awaitClosed(StutteringEndpoint engine) throws InterruptedException {
        for (int i = 0; i < 200 && engine.openConnections() > 0; i++) {
            Thread.sleep(10);
        }
        assertThat(engine.openConnections()).isEqualTo(0);
    }

    private String run(StutteringEndpoint engine, int number) {
        return engines.run(engine.address(), call(number))
                .map(EngineChunk::text)
                .collectList()
                .map(all -> String.join("", all))
                .onErrorResume(e -> Mono.just(told(e)))
                .block(ANSWER);
    }

    private static String told(Throwable error) {
        return error instanceof HttpClientResponseException e
                ? "status " + e.getStatus().getCode()
                : error.toString();
    }

    private static String expected(int status, String label) {
        return status == 200 ? label + "." : "status " + status;
    }

    private static EngineCall call(int number) {
        return new EngineCall(
                "generation." + number + ".1",
                new ModelId("quoting", "", "v1"),
                "Assess the chairs.",
                7,
                1,
                Rank.URGENT,
                List.of());
    }

    private static byte[] answer(int status, String label) {
        if (status != 200) {
            return StutteringEndpoint.whole(
                    status, "application/json", "{\"error\":\"%s\"}".formatted(label));
        }
        return bytes(begun() + chunk(events(label)) + chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    }

    private static byte[] unended(String label) {
        return bytes(begun() + chunk(events(label)));
    }

    private static String begun() {
        return StutteringEndpoint.head(
                200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked");
    }

    private static String events(String label) {
        return event(0, "1", label, "null") + event(1, "", ".", "\"length\"");
    }

    private static String event(int offset, String token, String text, String finish) {
        return ("data: {\"offset\":%d,\"token_ids\":[%s],\"text\":\"%s\","
                        + "\"finish_reason\":%s}\n\n")
                .formatted(offset, token, text, finish);
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
