package io.siskintrail.router.internal.membership;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.router.Stutter;
import io.siskintrail.router.StutteringEndpoint;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Questions for the status of an endpoint that answers twice, over real sockets. */
@Timeout(60)
class StatusSecondAnswerTest {
    private static final Map<String, Long> INCARNATIONS =
            Map.of("first", 1L, "late", 2L, "next", 3L);
    private static final long ANSWER_MILLIS = 2_000;
    private static final long NO_ANSWER_MILLIS = 200;
    private static final Stutter QUIET =
            new Stutter(200, 200, Stutter.Moment.NEXT, Stutter.Form.WHOLE, 200);

    private final EndpointStatusClient statuses = new EndpointStatusClient();

    @AfterEach
    void close() {
        statuses.close();
    }

    @ParameterizedTest
    @MethodSource("io.siskintrail.router.Stutter#all")
    void questionGetsNoLateAnswerToAnEarlierOne(Stutter stutter) throws Exception {
        try (StutteringEndpoint endpoint =
                new StutteringEndpoint(stutter, StatusSecondAnswerTest::answer)) {
            assertThat(ask(endpoint, stutter.first())).isEqualTo(of(stutter.first(), "first"));
            endpoint.awaitMoment();
            assertThat(ask(endpoint, stutter.next())).isEqualTo(of(stutter.next(), "next"));
        }
    }

    @Test
    void connectionCarriesOneQuestionAndEndsWithIt() throws Exception {
        try (StutteringEndpoint endpoint =
                new StutteringEndpoint(QUIET, StatusSecondAnswerTest::answer)) {
            ask(endpoint, 200);
            ask(endpoint, 200);
            assertThat(endpoint.requestsByConnection()).isEqualTo(List.of(1, 1));
            for (int i = 0; i < 200 && endpoint.openConnections() > 0; i++) {
                Thread.sleep(10);
            }
            assertThat(endpoint.openConnections()).isEqualTo(0);
        }
    }

    /** Returns the incarnation that the answer names, 0 when there is none. */
    private long ask(StutteringEndpoint endpoint, int status) throws Exception {
        CompletableFuture<EndpointStatusClient.Status> answer = new CompletableFuture<>();
        statuses.ask(endpoint.address(), answer::complete);
        try {
            long millis = status == 200 ? ANSWER_MILLIS : NO_ANSWER_MILLIS;
            return answer.get(millis, TimeUnit.MILLISECONDS).incarnation();
        } catch (TimeoutException e) {
            return 0;
        }
    }

    private static long of(int status, String label) {
        return status == 200 ? INCARNATIONS.get(label) : 0;
    }

    private static byte[] answer(int status, String label) {
        return StutteringEndpoint.whole(
                status,
                "application/json",
                "{\"incarnation\":%d,\"leaving\":false}".formatted(INCARNATIONS.get(label)));
    }
}
