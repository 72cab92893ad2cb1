package io.siskintrail.router.internal.order;

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
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Calls of a plain service that answers with a status outside 100 to 599 or not of three digits.
 */
@Timeout(60)
class ServiceStrangeStatusTest {
    private static final long ANSWER_SECONDS = 5;
    private static final String FIELDS = "Content-Type: text/plain\r\n";

    private final ServiceClient services = new ServiceClient(Duration.ofSeconds(ANSWER_SECONDS));

    @AfterEach
    void close() {
        services.close();
    }

    /** Guards against an answer without a valid status that is recorded or passed on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "000 OK", "001 X", "099 X", "20 X", "2000 X", "600 X", "999 X", "+200 OK",
                "0200 OK", "-20 X", "-200 OK", "2e2 OK"
            })
    void answerWithAStrangeStatusIsBroken(String status) throws Exception {
        for (String end :
                new String[] {
                    "Content-Length: 5\r\n\r\nwhole",
                    "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                    "\r\nwhole"
                }) {
            CallResult result = send("HTTP/1.1 " + status + "\r\n" + FIELDS + end);

            assertWithMessage(end).that(result).isInstanceOf(CallResult.Broken.class);
        }
    }

    /** Guards against a strange status that is skipped as an interim one. */
    @ParameterizedTest
    @ValueSource(strings = {"000 X", "099 X", "20 X", "+100 X", "0100 X", "-100 X"})
    void strangeInterimResponseIsABrokenAnswer(String status) throws Exception {
        String sound = "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole";

        CallResult result = send("HTTP/1.1 " + status + "\r\n\r\n" + sound);

        assertWithMessage(status).that(result).isInstanceOf(CallResult.Broken.class);
    }

    /** Guards against a valid status that counts as strange. */
    @ParameterizedTest
    @ValueSource(ints = {200, 201, 299, 404, 418, 499, 500, 599})
    void answerWithAValidStatusIsTaken(int status) throws Exception {
        CallResult result = send("HTTP/1.1 %d X\r\n%s\r\nwhole".formatted(status, FIELDS));

        assertWithMessage("result").that(result).isInstanceOf(CallResult.Answered.class);
        CallResult.Answered answered = (CallResult.Answered) result;
        assertWithMessage("status").that(answered.answer().status()).isEqualTo(status);
    }

    private CallResult send(String answer) throws Exception {
        EarlyEndpoint.Script script =
                (number, head, socket) -> {
                    EarlyEndpoint.readBody(head, socket);
                    EarlyEndpoint.write(socket, answer);
                    return false;
                };
        try (EarlyEndpoint endpoint = new EarlyEndpoint(script)) {
            ServiceCall call =
                    new ServiceCall(
                            new AccountId("hekla"),
                            new ServiceName("depot"),
                            "POST",
                            "/orders",
                            "",
                            Map.of("X-Request-Id", "r1"),
                            "q".getBytes(StandardCharsets.US_ASCII));
            return services.send(endpoint.address(), call)
                    .toCompletableFuture()
                    .get(ANSWER_SECONDS, TimeUnit.SECONDS);
        }
    }
}
