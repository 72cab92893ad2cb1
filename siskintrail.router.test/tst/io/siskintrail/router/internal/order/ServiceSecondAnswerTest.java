package io.siskintrail.router.internal.order;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.router.Stutter;
import io.siskintrail.router.StutteringEndpoint;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Calls of a plain service that answers twice, the second time late, over real sockets. */
@Timeout(60)
class ServiceSecondAnswerTest {
    private static final long ANSWER_SECONDS = 5;

    private final ServiceClient services = new ServiceClient(Duration.ofSeconds(ANSWER_SECONDS));

    @AfterEach
    void close() {
        services.close();
    }

    @ParameterizedTest
    @MethodSource("io.siskintrail.router.Stutter#all")
    void callGetsNoLateAnswerToAnEarlierOne(Stutter stutter) throws Exception {
        try (StutteringEndpoint endpoint =
                new StutteringEndpoint(stutter, ServiceSecondAnswerTest::answer)) {
            assertThat(send(endpoint, "GET")).isEqualTo(stutter.first() + " first");
            endpoint.awaitMoment();
            assertThat(send(endpoint, "POST")).isEqualTo(stutter.next() + " next");
            assertThat(endpoint.requestsByConnection()).isEqualTo(List.of(1, 1));
        }
    }

    private String send(StutteringEndpoint endpoint, String method) throws Exception {
        ServiceCall call =
                new ServiceCall(
                        new AccountId("hekla"),
                        new ServiceName("depot"),
                        method,
                        "/stock",
                        "",
                        Map.of("X-Request-Id", "same"),
                        method.equals("GET") ? new byte[0] : new byte[] {'q'});
        CallResult result =
                services.send(endpoint.address(), call)
                        .toCompletableFuture()
                        .get(ANSWER_SECONDS, TimeUnit.SECONDS);
        return result instanceof CallResult.Answered a
                ? a.answer().status()
                        + " "
                        + new String(a.answer().body(), StandardCharsets.ISO_8859_1)
                : result.toString();
    }

    private static byte[] answer(int status, String label) {
        return StutteringEndpoint.whole(status, "text/plain", label);
    }
}
