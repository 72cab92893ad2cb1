package io.siskintrail.router.internal.order;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.testkit.EarlyEndpoint;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls whose answer comes, and whose connection is reset, while their body is still written. */
@Timeout(60)
class ServiceEarlyResetTest {
    private static final long ANSWER_SECONDS = 5;

    /** More than the buffers of both ends hold. */
    private static final int REQUEST_BYTES = 4_000_000;

    private static final int ANSWER_BYTES = 8_000;
    private static final long UNTIL_END_MILLIS = 200;
    private static final String HEAD = "HTTP/1.1 %d X\r\nContent-Type: text/plain\r\n%s\r\n";

    private final ServiceClient services = new ServiceClient(Duration.ofSeconds(ANSWER_SECONDS));

    @AfterEach
    void close() {
        services.close();
    }

    /** Guards against a part of an answer that is recorded, or passed on, as the whole one. */
    @ParameterizedTest
    @CsvSource({"200, 0", "200, 20", "200, 200", "500, 20", "500, 200"})
    void answerThatIsResetWhileTheCallIsSentIsBroken(int status, long untilResetMillis)
            throws Exception {
        for (String framing : new String[] {"", "Content-Length: 8000\r\n"}) {
            for (int bytes : new int[] {0, ANSWER_BYTES / 2}) {
                String answer = HEAD.formatted(status, framing) + "a".repeat(bytes);
                EarlyEndpoint.Script script =
                        (number, head, socket) -> {
                            EarlyEndpoint.write(socket, answer);
                            sleep(untilResetMillis);
                            EarlyEndpoint.resetOnClose(socket);
                            return false;
                        };
                CallResult result = send(script);

                assertWithMessage("%s, %s bytes", framing, bytes)
                        .that(result)
                        .isInstanceOf(CallResult.Broken.class);
            }
        }
    }

    /** Guards against an early answer that is taken for one that was reset. */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500})
    void earlyAnswerThatEndsWithItsConnectionIsTaken(int status) throws Exception {
        String body = "a".repeat(ANSWER_BYTES);
        EarlyEndpoint.Script script =
                (number, head, socket) -> {
                    EarlyEndpoint.write(socket, HEAD.formatted(status, "") + body);
                    sleep(UNTIL_END_MILLIS);
                    EarlyEndpoint.readBody(head, socket);
                    return false;
                };
        CallResult result = send(script);

        assertThat(result).isInstanceOf(CallResult.Answered.class);
        CallResult.Answered answered = (CallResult.Answered) result;
        assertThat(answered.answer().status()).isEqualTo(status);
        assertThat(new String(answered.answer().body(), StandardCharsets.US_ASCII)).isEqualTo(body);
    }

    private CallResult send(EarlyEndpoint.Script script) throws Exception {
        try (EarlyEndpoint endpoint = new EarlyEndpoint(script)) {
            ServiceCall call =
                    new ServiceCall(
                            new AccountId("hekla"),
                            new ServiceName("depot"),
                            "POST",
                            "/orders",
                            "",
                            Map.of("X-Request-Id", "r1"),
                            "q".repeat(REQUEST_BYTES).getBytes(StandardCharsets.US_ASCII));
            return services.send(endpoint.address(), call)
                    .toCompletableFuture()
                    .get(ANSWER_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
