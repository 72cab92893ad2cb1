package io.siskintrail.router.internal.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.testkit.EarlyEndpoint;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Attempts at an engine whose stream is reset while the prompt is written, or has no status. */
@Timeout(60)
class EngineBrokenAnswerTest {
    private static final Duration ANSWER = Duration.ofSeconds(5);
    private static final String SSE = "Content-Type: text/event-stream\r\n";

    /** More than the buffers of both ends hold. */
    private static final int LONG_PROMPT_CHARS = 4_000_000;

    private final EngineClient engines = new EngineClient();

    @AfterEach
    void close() {
        engines.close();
    }

    /** Guards against a part of a stream that counts as its end. */
    @ParameterizedTest
    @CsvSource({"0, 20", "1, 20", "3, 20", "0, 200", "1, 200", "3, 200"})
    void streamThatIsResetWhileThePromptIsSentHasNoEnd(int events, long untilResetMillis)
            throws Exception {
        for (String framing : new String[] {"", "Content-Length: 8000\r\n"}) {
            StringBuilder stream =
                    new StringBuilder("HTTP/1.1 200 OK\r\n" + SSE + framing + "\r\n");
            for (int i = 0; i < events; i++) {
                stream.append(event(i, "null"));
            }
            EarlyEndpoint.Script script =
                    (number, head, socket) -> {
                        EarlyEndpoint.write(socket, stream.toString());
                        sleep(untilResetMillis);
                        EarlyEndpoint.resetOnClose(socket);
                        return false;
                    };
            List<EngineChunk> chunks = run(script, "p".repeat(LONG_PROMPT_CHARS));

            assertWithMessage(framing).that(hasEnd(chunks)).isFalse();
        }
    }

    /** Guards against the output of an engine whose answer has no valid status. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "000 OK", "001 X", "099 X", "20 X", "2000 X", "600 X", "999 X", "+200 OK",
                "0200 OK", "-20 X", "-200 OK", "2e2 OK"
            })
    void streamWithAStrangeStatusIsNoOutput(String status) throws Exception {
        List<EngineChunk> chunks = run(wholeStream(status), "Assess the chairs.");

        assertThat(chunks).isEmpty();
    }

    /** Guards against a check that refuses a sound stream. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "200"})
    void streamWithAValidStatusIsTaken(String status) throws Exception {
        assertThat(hasEnd(run(wholeStream(status), "Assess the chairs."))).isTrue();
    }

    private static EarlyEndpoint.Script wholeStream(String status) {
        return (number, head, socket) -> {
            EarlyEndpoint.readBody(head, socket);
            writeWhole(socket, status);
            return false;
        };
    }

    private static void writeWhole(Socket socket, String status) throws IOException {
        EarlyEndpoint.write(socket, "HTTP/1.1 " + status + "\r\n" + SSE + "\r\n");
        EarlyEndpoint.write(socket, event(0, "null") + event(1, "\"length\""));
        EarlyEndpoint.write(socket, "data: [DONE]\n\n");
    }

    /** Returns the chunks that came before the stream ended, failed or not. */
    private List<EngineChunk> run(EarlyEndpoint.Script script, String prompt) throws IOException {
        List<EngineChunk> chunks = new ArrayList<>();
        try (EarlyEndpoint engine = new EarlyEndpoint(script)) {
            engines.run(engine.address(), call(prompt))
                    .doOnNext(chunks::add)
                    .onErrorComplete()
                    .blockLast(ANSWER);
        }
        return chunks;
    }

    private static boolean hasEnd(List<EngineChunk> chunks) {
        return chunks.stream().anyMatch(chunk -> chunk.finishReason() != null);
    }

    private static EngineCall call(String prompt) {
        return new EngineCall(
                "generation.1.1",
                new ModelId("quoting", "", "v1"),
                prompt,
                7,
                2,
                Rank.URGENT,
                List.of());
    }

    private static String event(int offset, String finish) {
        return ("data: {\"offset\":%d,\"token_ids\":[%d],\"text\":\"t\",\"finish_reason\":%s}\n\n")
                .formatted(offset, offset, finish);
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
