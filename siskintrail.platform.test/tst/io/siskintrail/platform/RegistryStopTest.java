package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.registry.RegistryService;
import io.siskintrail.registry.RegistrySettings;
import io.siskintrail.testkit.FreePorts;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls of operators that are open when a registry is asked to stop. */
@Timeout(60)
class RegistryStopTest {
    private static final String CONFIGURATION =
            "{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":[]}";

    /** Size of a configuration for which a call has more time than the stop. */
    private static final int LARGE_BYTES = 1 << 20;

    @TempDir Path folder;

    /** Guards against a call that waits for a quorum and is cut off by the stop. */
    @ParameterizedTest
    @ValueSource(strings = {"PUT", "GET"})
    void callThatWaitsForAQuorumIsAnsweredWhenTheRegistryStops(String method) throws Exception {
        int callPort = FreePorts.next();
        RegistryService registry = startWithoutQuorum(callPort);
        try (Socket operator = new Socket("127.0.0.1", callPort)) {
            operator.setSoTimeout(10_000);
            operator.getOutputStream().write(Http.toBytes("GET /none HTTP/1.1\r\nHost: h\r\n\r\n"));
            operator.getInputStream().readNBytes(9);
            Http.sleep(100);
            operator.getInputStream().skipNBytes(operator.getInputStream().available());
            String body = method.equals("PUT") ? CONFIGURATION : "";
            String call =
                    "%s /api/config HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(method, body.length(), body);
            operator.getOutputStream().write(Http.toBytes(call));
            Http.sleep(200);

            registry.stop();

            byte[] answer = operator.getInputStream().readNBytes(9);
            assertThat(new String(answer, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 ");
        }
    }

    /**
     * Guards against a call that outlasts the stop and is cut off at its end, or told that it is
     * not run although it may still be committed.
     */
    @Test
    void largeCallThatOutlastsTheStopIsAnswered() throws Exception {
        int callPort = FreePorts.next();
        RegistryService registry = startWithoutQuorum(callPort);
        try (Socket operator = new Socket("127.0.0.1", callPort)) {
            operator.setSoTimeout(10_000);
            String body = CONFIGURATION + " ".repeat(LARGE_BYTES);
            String head = "PUT /api/config HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n";
            operator.getOutputStream().write(Http.toBytes(head.formatted(body.length()) + body));
            Http.sleep(500);

            registry.stop();

            byte[] answer = operator.getInputStream().readNBytes(12);
            assertThat(new String(answer, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 504");
        }
    }

    /** Starts one of three registries of which the others never come. */
    private RegistryService startWithoutQuorum(int callPort) {
        String callAddress = "127.0.0.1:" + callPort;
        RegistryService registry =
                new RegistryService(
                        new RegistrySettings(
                                "core-1",
                                "a",
                                "127.0.0.1",
                                callAddress,
                                FreePorts.next(),
                                FreePorts.next(),
                                List.of(callAddress, "127.0.0.2:1", "127.0.0.3:1"),
                                true,
                                folder.toString(),
                                1_000,
                                0),
                        new PlatformRegistryProtocol());
        registry.start();
        return registry;
    }
}
