package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.configuration.ClientLimits;
import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.lib.Result;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.HttpService;
import io.siskintrail.registry.RegistryCall;
import io.siskintrail.registry.RegistrySettings;
import io.siskintrail.storage.StorageFiles;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** Three registries in this process, on folders of their own; a configuration is its version. */
final class LoopbackRegistries {
    static final int COUNT = 3;

    /** Time for an attempt to open the disk and for an election. */
    private static final long RECOVERY_MILLIS = 4_000;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final long CHANGE_INTERVAL_MILLIS = 40;

    private final Path folder;
    private final int callPort = FreePorts.next();
    private final int linkPort = FreePorts.next();
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<Registry> registries = new ArrayList<>();
    private long version;

    LoopbackRegistries(Path folder) {
        this.folder = folder;
    }

    /** Stops all that run; {@code beforeDisks} runs between the stop and the end of the disks. */
    void stop(Runnable beforeDisks) {
        registries.forEach(Registry::stop);
        loops.forEach(EventLoop::stop);
        beforeDisks.run();
        registries.forEach(Registry::closeDisk);
        registries.clear();
        loops.clear();
    }

    /** Returns the folder of a registry. */
    Path folder(int number) {
        return folder.resolve("data-" + number);
    }

    /** Starts a registry; {@code files} may put faults before its disk. */
    void start(int number, UnaryOperator<StorageFiles> files) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            seeds.add(ip(i) + ":" + callPort);
        }
        RegistrySettings settings =
                new RegistrySettings(
                        "core-" + number,
                        "a",
                        ip(number),
                        seeds.get(number),
                        linkPort,
                        FreePorts.next(),
                        seeds,
                        true,
                        folder(number).toString(),
                        1_000,
                        1);
        EventLoop loop = new EventLoop("registry-" + number);
        Path data = Path.of(settings.dataFolder());
        ReplicaDisk disk = ReplicaDisk.of(data, files);
        Registry registry = new Registry(loop, settings, LoopbackRegistries::read, disk);
        loops.add(loop);
        registries.add(registry);
        registry.start();
    }

    /** Reads a call whose body is the version of a configuration. */
    private static RegistryCall read(HttpService.Call call) {
        if (!call.method().equals("PUT")) {
            return new RegistryCall.ReadConfiguration();
        }
        long sent = Long.parseLong(new String(call.body(), StandardCharsets.US_ASCII));
        TrafficConfiguration configuration =
                new TrafficConfiguration(
                        sent, List.of(), List.of(), ClientLimits.DEFAULT, List.of());
        return new RegistryCall.PutConfiguration(Result.ok(configuration), call.body());
    }

    /** Sends changes for a time, acknowledged or not. */
    void sendChanges(long millis) throws Exception {
        long end = EventLoop.nowMillis() + millis;
        while (EventLoop.nowMillis() < end) {
            put();
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
    }

    /** Sends changes until one is acknowledged. */
    void awaitAcknowledgement() throws Exception {
        long end = EventLoop.nowMillis() + RECOVERY_MILLIS;
        while (put() != 200) {
            assertThat(EventLoop.nowMillis()).isLessThan(end);
        }
    }

    /** Waits until a registry confirms the newest configuration, for which it needs its log. */
    void awaitRead(int number) throws Exception {
        long end = EventLoop.nowMillis() + RECOVERY_MILLIS;
        String wanted = Long.toString(version);
        while (!wanted.equals(call(number, HttpRequest.newBuilder().GET()))) {
            assertThat(EventLoop.nowMillis()).isLessThan(end);
        }
    }

    /** Sends the next version to one registry after another; returns the last status. */
    int put() throws Exception {
        version++;
        byte[] body = Long.toString(version).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < COUNT; i++) {
            String answer =
                    call(
                            (int) ((version + i) % COUNT),
                            HttpRequest.newBuilder()
                                    .PUT(HttpRequest.BodyPublishers.ofByteArray(body)));
            if (answer.equals("{}")) {
                return 200;
            }
        }
        return 503;
    }

    /** Returns the body of a response with status 200, empty for any other outcome. */
    String call(int number, HttpRequest.Builder builder) throws InterruptedException {
        HttpRequest request =
                builder.uri(URI.create("http://%s:%d/".formatted(ip(number), callPort)))
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

    private static String ip(int number) {
        return "127.0.0." + (21 + number);
    }
}
