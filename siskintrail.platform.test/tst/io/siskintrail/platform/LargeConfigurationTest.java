package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against registries that run out of memory by the number of large configurations. */
@Timeout(180)
class LargeConfigurationTest {
    private static final int REGISTRIES = 3;
    private static final int CHANGES = 60;
    private static final int CONFIGURATION_BYTES = 1_150_000;
    private static final long PATIENCE_MILLIS = 20_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);
    private static final String ROUTE =
            "{\"name\":\"r%d\",\"host\":\"h.example\",\"pathPrefix\":\"/p%d/\",\"kind\":\"safe\","
                    + "\"timeoutMs\":3000,\"targetLatencyMs\":600,\"priority\":1,"
                    + "\"service\":\"app\",\"maxAttempts\":2}";

    @TempDir Path folder;
    private final int callPort = FreePorts.next();
    private final int linkPort = FreePorts.next();
    private final int metricsPort = FreePorts.next();
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<SoakProcess> processes = new ArrayList<>();

    @AfterEach
    void stop() {
        processes.forEach(SoakProcess::close);
    }

    @Test
    void manyLargeConfigurationsAreAcknowledgedAndReadBack() throws Exception {
        for (int i = 0; i < REGISTRIES; i++) {
            SoakProcess process = new SoakProcess("registry", writeSettings(i));
            processes.add(process);
            process.start();
        }
        for (int version = 1; version <= CHANGES; version++) {
            awaitAcknowledgement(version);
        }
        for (int i = 0; i < REGISTRIES; i++) {
            assertThat(call(i, HttpRequest.newBuilder().GET()))
                    .startsWith("{\"version\":%d,".formatted(CHANGES));
            assertThat(processes.get(i).restartIfEnded()).isEqualTo(SoakProcess.State.AS_EXPECTED);
            assertThat(processes.get(i).fullLog()).doesNotContain("OutOfMemoryError");
        }
    }

    private void awaitAcknowledgement(int version) throws InterruptedException {
        String text = configuration(version);
        long end = System.currentTimeMillis() + PATIENCE_MILLIS;
        int number = version;
        while (!call(
                        number % REGISTRIES,
                        HttpRequest.newBuilder().PUT(HttpRequest.BodyPublishers.ofString(text)))
                .equals("{}")) {
            assertWithMessage("acknowledgement of version %s", version)
                    .that(System.currentTimeMillis())
                    .isLessThan(end);
            number++;
            Thread.sleep(50);
        }
    }

    private static String configuration(int version) {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; routes.length() < CONFIGURATION_BYTES; i++) {
            routes.append(i == 0 ? "" : ",").append(ROUTE.formatted(i, i));
        }
        return "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"app\"}],\"tenants\":[]}"
                .formatted(version, routes);
    }

    /** Returns the body of a response with status 200, empty for any other outcome. */
    private String call(int number, HttpRequest.Builder builder) throws InterruptedException {
        HttpRequest request =
                builder.uri(URI.create("http://%s:%d/api/config".formatted(ip(number), callPort)))
                        .timeout(CALL_TIMEOUT)
                        .build();
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? response.body() : "";
        } catch (IOException e) {
            return "";
        }
    }

    private Path writeSettings(int number) throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < REGISTRIES; i++) {
            seeds.add("\"%s:%d\"".formatted(ip(i), callPort));
        }
        String settings =
                """
                {"host":"core-%d","domain":"a","ip":"%s","callAddress":"%s:%d","linkPort":%d,
                 "metricsPort":%d,"seeds":[%s],"founding":true,"dataFolder":"%s",
                 "heartbeatMillis":500,"toleratedLosses":1}
                """
                        .formatted(
                                number,
                                ip(number),
                                ip(number),
                                callPort,
                                linkPort,
                                metricsPort,
                                String.join(",", seeds),
                                folder.resolve("data-" + number));
        Path file = folder.resolve("core-" + number + ".json");
        Files.writeString(file, settings);
        return file;
    }

    private static String ip(int number) {
        return "127.0.0." + (31 + number);
    }
}
