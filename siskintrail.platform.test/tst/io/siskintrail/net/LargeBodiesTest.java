package io.siskintrail.net;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.testkit.FreePorts;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a server that holds as many large bodies as calls are in progress. */
@Timeout(60)
class LargeBodiesTest {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int LARGE_BYTES = 400 << 10;
    private static final int CALLS = 10;
    private static final long WAIT_SECONDS = 10;
    private static final long SETTLE_MILLIS = 300;

    private final InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.next());
    private final EventLoop loop = new EventLoop("test");
    private final LinkedBlockingQueue<Consumer<HttpService.Answer>> unanswered =
            new LinkedBlockingQueue<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private HttpService server;

    @BeforeEach
    void start() {
        server =
                new HttpService(
                        loop, address, MAX_BODY_BYTES, (call, answer) -> unanswered.add(answer));
        loop.call(server::start);
        server.awaitListening();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    @Test
    void largeBodiesWaitUntilOthersAreAnswered() throws Exception {
        List<CompletableFuture<HttpResponse<Void>>> calls = send(CALLS, LARGE_BYTES);
        Thread.sleep(SETTLE_MILLIS);
        assertThat(unanswered).hasSize(MAX_BODY_BYTES / LARGE_BYTES);
        assertThat(server.bodyBytes()).isAtMost(MAX_BODY_BYTES);
        answer(CALLS);
        for (CompletableFuture<HttpResponse<Void>> call : calls) {
            assertThat(call.get(WAIT_SECONDS, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        }
        assertThat(server.waitingBodies()).isEqualTo(0);
    }

    @Test
    void smallBodiesDoNotWait() throws Exception {
        send(CALLS, LARGE_BYTES);
        Thread.sleep(SETTLE_MILLIS);
        int before = unanswered.size();
        send(CALLS, 100);
        Thread.sleep(SETTLE_MILLIS);
        assertThat(unanswered).hasSize(before + CALLS);
    }

    @Test
    void callersThatLeaveMakeRoom() throws Exception {
        List<CompletableFuture<HttpResponse<Void>>> calls = send(CALLS, LARGE_BYTES);
        Thread.sleep(SETTLE_MILLIS);
        calls.forEach(call -> call.cancel(true));
        answer(unanswered.size());
        CompletableFuture<HttpResponse<Void>> next = send(1, MAX_BODY_BYTES).get(0);
        long end = EventLoop.nowMillis() + TimeUnit.SECONDS.toMillis(WAIT_SECONDS);
        while (!next.isDone() && EventLoop.nowMillis() < end) {
            answer(1);
        }
        assertThat(next.get(1, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }

    private void answer(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            Consumer<HttpService.Answer> answer = unanswered.poll(1, TimeUnit.SECONDS);
            if (answer != null) {
                loop.execute(() -> answer.accept(new HttpService.Answer(200, "", new byte[0])));
            }
        }
    }

    private List<CompletableFuture<HttpResponse<Void>>> send(int count, int bytes) {
        List<CompletableFuture<HttpResponse<Void>>> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://127.0.0.1:" + address.getPort() + "/"))
                            .PUT(HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]))
                            .version(HttpClient.Version.HTTP_1_1)
                            .build();
            calls.add(http.sendAsync(request, HttpResponse.BodyHandlers.discarding()));
        }
        return calls;
    }
}
