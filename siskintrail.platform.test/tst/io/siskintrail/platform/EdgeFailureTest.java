package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.edge.TrafficProtocol;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
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

    /** Returns the platform's protocol, of which one method throws. */
    private static TrafficProtocol failingIn(String method) {
        TrafficProtocol protocol = new PlatformTrafficProtocol();
        return (TrafficProtocol)
                Proxy.newProxyInstance(
                        TrafficProtocol.class.getClassLoader(),
                        new Class<?>[] {TrafficProtocol.class},
                        (proxy, called, arguments) -> {
                            if (called.getName().equals(method)) {
                                throw new IllegalStateException("injected into " + method);
                            }
                            try {
                                return called.invoke(protocol, arguments);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        });
    }
}
