package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.traffic.configuration.Authentication;
import io.siskintrail.internal.traffic.configuration.ClientLimits;
import io.siskintrail.internal.traffic.configuration.ServiceSpec;
import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.HttpService;
import io.siskintrail.registry.RegistryCall;
import io.siskintrail.registry.RegistryProtocol;
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
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Three registries in this process, on folders of their own. A configuration is its version and
 * names the service {@link #SERVICE}. A rollout is ordered with a POST of its version and its
 * duration in milliseconds, and read with a GET of the path of its service.
 */
final class LoopbackRegistries {
    static final int COUNT = 3;

    static final ServiceName SERVICE = new ServiceName("s");

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
    private final Map<Integer, Integer> metricsPorts = new TreeMap<>();
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

    /** Ends a registry without a stop, so that it hands nothing on; they were started in order. */
    void kill(int number) {
        loops.get(number).stop();
        registries.get(number).closeDisk();
        loops.remove(number);
        registries.remove(number);
    }

    /** Returns the number of the registry whose metrics say that it leads. */
    int leader() throws Exception {
        long end = EventLoop.nowMillis() + RECOVERY_MILLIS;
        while (true) {
            for (int i = 0; i < metricsPorts.size(); i++) {
                URI uri = URI.create("http://%s:%d/".formatted(ip(i), metricsPorts.get(i)));
                HttpRequest request = HttpRequest.newBuilder(uri).timeout(CALL_TIMEOUT).build();
                if (http.send(request, HttpResponse.BodyHandlers.ofString())
                        .body()
                        .contains("siskintrail_registry_leader 1")) {
                    return i;
                }
            }
            assertThat(EventLoop.nowMillis()).isLessThan(end);
        }
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
        int metricsPort = FreePorts.next();
        metricsPorts.put(number, metricsPort);
        RegistrySettings settings =
                new RegistrySettings(
                        "core-" + number,
                        "a",
                        ip(number),
                        seeds.get(number),
                        linkPort,
                        metricsPort,
                        seeds,
                        true,
                        folder(number).toString(),
                        1_000,
                        1);
        EventLoop loop = new EventLoop("registry-" + number);
        Path data = Path.of(settings.dataFolder());
        ReplicaDisk disk = ReplicaDisk.of(data, files);
        Registry registry = new Registry(loop, settings, new Protocol(), disk);
        loops.add(loop);
        registries.add(registry);
        registry.start();
    }

    private static final class Protocol implements RegistryProtocol {
        @Override
        public RegistryCall read(HttpService.Call call) {
            String body = new String(call.body(), StandardCharsets.US_ASCII);
            if (call.method().equals("POST")) {
                String[] order = body.split(" ");
                return new RegistryCall.StartRollout(
                        Result.ok(
                                new RolloutOrder(
                                        new ServiceName(call.target().substring(1)),
                                        new EndpointVersion(order[0]),
                                        Long.parseLong(order[1]))));
            }
            if (!call.method().equals("PUT")) {
                return call.target().length() > 1
                        ? new RegistryCall.ReadRollout(new ServiceName(call.target().substring(1)))
                        : new RegistryCall.ReadConfiguration();
            }
            return new RegistryCall.PutConfiguration(readConfiguration(call.body()), call.body());
        }

        @Override
        public Result<TrafficConfiguration> readConfiguration(byte[] content) {
            return Result.ok(
                    new TrafficConfiguration(
                            Long.parseLong(new String(content, StandardCharsets.US_ASCII)),
                            List.of(),
                            List.of(new ServiceSpec(SERVICE, "/", 1, null)),
                            ClientLimits.DEFAULT,
                            new Authentication.None()));
        }

        @Override
        public Map<String, String> describeRollout(RolloutRecord rollout) {
            return Map.of(rollout.status().name(), rollout.order().to().value());
        }
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
        try {
            HttpResponse<String> response = send(number, "", builder);
            return response.statusCode() == 200 ? response.body() : "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Orders a rollout of a service at one registry; returns the response. */
    HttpResponse<String> order(int number, String service, String order) throws Exception {
        return send(
                number,
                service,
                HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.ofString(order)));
    }

    /** Reads the rollout of a service at one registry; returns the response. */
    HttpResponse<String> rollout(int number, String service) throws Exception {
        return send(number, service, HttpRequest.newBuilder().GET());
    }

    /** Ends a rollout at one registry; returns whether that is confirmed. */
    boolean endRollout(int number, RolloutRecord rollout, RolloutRecord.Status status)
            throws Exception {
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        long deadline = EventLoop.nowMillis() + RECOVERY_MILLIS;
        RolloutDesk desk = registries.get(number).rollouts();
        loops.get(number).execute(() -> desk.end(rollout, status, deadline, ended::complete));
        return ended.get(2 * RECOVERY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private HttpResponse<String> send(int number, String path, HttpRequest.Builder builder)
            throws IOException, InterruptedException {
        HttpRequest request =
                builder.uri(URI.create("http://%s:%d/%s".formatted(ip(number), callPort, path)))
                        .timeout(CALL_TIMEOUT)
                        .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String ip(int number) {
        return "127.0.0." + (21 + number);
    }
}
