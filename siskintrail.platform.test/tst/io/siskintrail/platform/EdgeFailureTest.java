package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.HttpHeaders;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.net.EventLoop;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests during which the edge itself fails with an exception. */
@Timeout(60)
class EdgeFailureTest {
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":2000,"targetLatencyMs":500,"priority":1,"service":"app",
              "maxAttempts":1},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":2000,"targetLatencyMs":1000,"priority":0,"service":"llm",
              "maxAttempts":5,"resumable":true,"targetGapMs":20000}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"backups":true,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    /** Slots of an endpoint that {@link LoopbackSystem} registers. */
    private static final int SLOTS = 4;

    /** Far less than the deadline of a request. */
    private static final long MAX_ANSWER_MILLIS = 5_000;

    @TempDir Path folder;

    /** Guards against an exception of the edge that ends a connection without an answer. */
    @ParameterizedTest
    @CsvSource({
        "/once/x, readMetadata",
        "/once/x, writeForwardedHeaders",
        "/once/x, readResponse",
        "/gen/x, writeForwardedHeaders",
        "/gen/x, readResponse"
    })
    void requestDuringWhichTheEdgeFailsIsAnswered(String path, String failingMethod)
            throws Exception {
        ScriptedEndpoint.Script answer =
                (number, request, out) -> {
                    out.write(ScriptedEndpoint.signedResponse(request, 200, "", "fine"));
                    return true;
                };
        try (LoopbackSystem system = new LoopbackSystem(folder, failingIn(failingMethod));
                ScriptedEndpoint app = new ScriptedEndpoint(answer);
                ScriptedEndpoint engine = new ScriptedEndpoint(answer)) {
            system.configure(CONFIGURATION);
            system.register("app", "app", app.address(), "a");
            system.register("e1", "llm", engine.address(), "a");
            while (system.readinessStatus() != 200) {
                Http.sleep(10);
            }

            String response = system.sendRaw(Http.request("POST", path, "key-1", "p"));

            assertThat(response).startsWith("HTTP/1.1 5");
            assertThat(response).doesNotContain("503");
        }
    }

    /**
     * Guards against an exception, or an error, before the first configuration without an answer.
     */
    @ParameterizedTest
    @CsvSource({"0, false", "0, true", "1, false", "1, true"})
    void requestBeforeTheFirstConfigurationDuringWhichTheEdgeFailsIsAnswered(
            int goodReads, boolean error) throws Exception {
        AtomicInteger reads = new AtomicInteger();
        BiPredicate<String, Object[]> condition =
                (called, arguments) -> {
                    boolean fails =
                            called.equals("readMetadata")
                                    && ((HttpHeaders) arguments[0]).contains("x-fail")
                                    && reads.getAndIncrement() >= goodReads;
                    if (fails && error) {
                        throw new StackOverflowError("injected");
                    }
                    return fails;
                };
        try (LoopbackSystem system = new LoopbackSystem(folder, failing(condition))) {
            String call = Http.request("POST", "/none/x", "key-1", "p");
            var failed = sendAsync(system, call.replace("\r\n\r\n", "\r\nx-fail: 1\r\n\r\n"));
            Http.sleep(100);
            var behind = sendAsync(system, call);
            Http.sleep(100);
            system.configure(CONFIGURATION);

            assertThat(failed.get()).startsWith("HTTP/1.1 500");
            assertThat(failed.get()).contains("1099");
            assertThat(behind.get()).startsWith("HTTP/1.1 404");
        }
    }

    /** Guards against a request that waits for its deadline once the edge has failed. */
    @ParameterizedTest
    @CsvSource({"/once/x, 2", "/gen/x, 2", "/gen/x, 3"})
    void requestIsAnsweredAtOnceWhenAFurtherAttemptFailsInTheEdge(String path, int failingAttempt)
            throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        BiPredicate<String, Object[]> condition =
                (called, arguments) ->
                        called.equals("writeForwardedHeaders")
                                && attempts.incrementAndGet() == failingAttempt;
        ScriptedEndpoint.Script closing = (number, request, out) -> false;
        try (LoopbackSystem system = new LoopbackSystem(folder, failing(condition));
                ScriptedEndpoint app1 = new ScriptedEndpoint(closing);
                ScriptedEndpoint app2 = new ScriptedEndpoint(closing);
                ScriptedEndpoint engine1 = new ScriptedEndpoint(closing);
                ScriptedEndpoint engine2 = new ScriptedEndpoint(closing)) {
            system.configure(
                    CONFIGURATION
                            .replace("\"timeoutMs\":2000", "\"timeoutMs\":20000")
                            .replace("\"unsafe\"", "\"safe\"")
                            .replace("\"maxAttempts\":1", "\"maxAttempts\":3"));
            system.register("app1", "app", app1.address(), "a");
            system.register("app2", "app", app2.address(), "a");
            system.register("e1", "llm", engine1.address(), "a");
            system.register("e2", "llm", engine2.address(), "a");
            while (system.readinessStatus() != 200) {
                Http.sleep(10);
            }
            Http.sleep(300);
            long startedAtMillis = EventLoop.nowMillis();

            String response =
                    system.sendRaw(
                            Http.request("POST", path, "key-1", "p")
                                    .replace("Deadline-Ms: 2000", "Deadline-Ms: 20000"));

            assertThat(EventLoop.nowMillis() - startedAtMillis).isLessThan(MAX_ANSWER_MILLIS);
            assertThat(response).startsWith("HTTP/1.1 500");
            assertThat(response).contains("1099");
        }
    }

    /** Guards against a queued request that takes the next one out of the queue when it fails. */
    @Test
    void requestQueuedBehindOneThatFailsIsServed() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch running = new CountDownLatch(SLOTS);
        try (LoopbackSystem system = new LoopbackSystem(folder, failingFor("x-fail"));
                ScriptedEndpoint app =
                        new ScriptedEndpoint(
                                (number, request, out) -> {
                                    running.countDown();
                                    await(released);
                                    out.write(
                                            ScriptedEndpoint.signedResponse(
                                                    request, 200, "", "fine"));
                                    return true;
                                })) {
            system.configure(
                    CONFIGURATION
                            .replace("\"timeoutMs\":2000", "\"timeoutMs\":20000")
                            .replace("\"targetLatencyMs\":500", "\"targetLatencyMs\":15000"));
            system.register("app", "app", app.address(), "a");
            system.awaitReady("llm");
            String call =
                    Http.request("POST", "/once/x", "key-1", "p")
                            .replace("Deadline-Ms: 2000", "Deadline-Ms: 20000");
            for (int i = 0; i < SLOTS; i++) {
                sendAsync(system, call);
            }
            running.await();

            var failing = sendAsync(system, call.replace("\r\n\r\n", "\r\nx-fail: 1\r\n\r\n"));
            Http.sleep(100);
            var behind = sendAsync(system, call);
            Http.sleep(100);
            released.countDown();

            assertThat(failing.get()).startsWith("HTTP/1.1 500");
            assertThat(behind.get()).startsWith("HTTP/1.1 200");
        }
    }

    private static CompletableFuture<String> sendAsync(LoopbackSystem system, String request) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return system.sendRaw(request);
                    } catch (IOException e) {
                        return "no response: " + e;
                    }
                },
                task -> new Thread(task, "client").start());
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the platform's protocol, of which one method throws. */
    private static TrafficProtocol failingIn(String method) {
        return failing((called, arguments) -> called.equals(method));
    }

    /** Returns the platform's protocol, which cannot write requests with a header. */
    private static TrafficProtocol failingFor(String header) {
        return failing(
                (called, arguments) ->
                        called.equals("writeForwardedHeaders")
                                && ((HttpHeaders) arguments[0]).contains(header));
    }

    private static TrafficProtocol failing(BiPredicate<String, Object[]> condition) {
        TrafficProtocol protocol = new PlatformTrafficProtocol();
        return (TrafficProtocol)
                Proxy.newProxyInstance(
                        TrafficProtocol.class.getClassLoader(),
                        new Class<?>[] {TrafficProtocol.class},
                        (proxy, called, arguments) -> {
                            if (condition.test(called.getName(), arguments)) {
                                throw new IllegalStateException("injected");
                            }
                            try {
                                return called.invoke(protocol, arguments);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        });
    }
}
