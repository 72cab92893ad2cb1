import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: registries and edges as processes of their own, started with the commands of
 * the deploy file from the repository's root, each on a loopback address of its own.
 */
final class Deployment implements AutoCloseable {
    static final long DRAIN_MILLIS = 2_000;
    static final int GRACE_SECONDS = 8;

    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");

    final RunRecord record;
    final String subnet;
    private final Path folder;
    private final int basePort;
    private final List<Process> processes = new ArrayList<>();
    private final List<Process> registries = new ArrayList<>();
    private final List<Process> edges = new ArrayList<>();
    private final int registryCount;
    private boolean founding = true;

    /** Starts {@code registryCount} registries and {@code edgeCount} edges. */
    Deployment(RunRecord record, int registryCount, int edgeCount) throws IOException {
        this.record = record;
        this.registryCount = registryCount;
        this.folder = Files.createTempDirectory("siskintrail-review");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        int port = 0;
        String net = null;
        while (net == null) {
            String candidate = "127.%d.%d".formatted(random.nextInt(10, 250), random.nextInt(250));
            port = random.nextInt(20_000, 30_000);
            if (isFree(candidate, port)) {
                net = candidate;
            }
        }
        subnet = net;
        basePort = port;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int i = 0; i < registryCount; i++) {
            registries.add(null);
            startRegistry(i);
        }
        for (int i = 0; i < edgeCount; i++) {
            edges.add(null);
            startEdge(i);
        }
    }

    InetSocketAddress front(int edge) {
        return new InetSocketAddress(edgeIp(edge), basePort);
    }

    InetSocketAddress readiness(int edge) {
        return new InetSocketAddress(edgeIp(edge), basePort + 1);
    }

    InetSocketAddress control(int registry) {
        return new InetSocketAddress(registryIp(registry), basePort + 2);
    }

    Process edge(int i) {
        return edges.get(i);
    }

    Process registry(int i) {
        return registries.get(i);
    }

    /** From now on the settings say that the system does not start for the first time. */
    void endFounding() {
        founding = false;
    }

    void startRegistry(int i) throws IOException {
        StringBuilder seeds = new StringBuilder();
        for (int s = 0; s < Math.min(3, registryCount); s++) {
            seeds.append(s == 0 ? "" : ",").append('"').append(registryIp(s)).append(':');
            seeds.append(basePort + 2).append('"');
        }
        String settings =
                """
                {"host":"core-%d","domain":"%s","ip":"%s","callAddress":"%s:%d","linkPort":%d,
                 "metricsPort":%d,"seeds":[%s],"founding":%s,"dataFolder":"%s",
                 "heartbeatMillis":1200,"toleratedLosses":%d}
                """
                        .formatted(
                                i,
                                zone(i),
                                registryIp(i),
                                registryIp(i),
                                basePort + 2,
                                basePort + 3,
                                basePort + 4,
                                seeds,
                                founding,
                                folder.resolve("data-" + i),
                                (registryCount - 1) / 2);
        registries.set(i, start("registry", "core-" + i, settings));
    }

    void startEdge(int i) throws IOException {
        StringBuilder seeds = new StringBuilder();
        for (int s = 0; s < Math.min(3, registryCount); s++) {
            seeds.append(s == 0 ? "" : ",").append('"').append(registryIp(s)).append(':');
            seeds.append(basePort + 2).append('"');
        }
        String settings =
                """
                {"host":"edge-%d","domain":"%s","ip":"%s","frontAddress":"%s:%d",
                 "readinessAddress":"%s:%d","linkPort":%d,"metricsPort":%d,"seeds":[%s],
                 "graceSeconds":%d,"outOfRotationSeconds":2.5,"retryRatio":0.8,
                 "retryReserve":150,"retryWindowSeconds":10}
                """
                        .formatted(
                                i,
                                zone(i),
                                edgeIp(i),
                                edgeIp(i),
                                basePort,
                                edgeIp(i),
                                basePort + 1,
                                basePort + 3,
                                basePort + 4,
                                seeds,
                                GRACE_SECONDS);
        edges.set(i, start("edge", "edge-" + i, settings));
    }

    /** Sends SIGTERM as the platform does: SIGKILL follows after the grace period. */
    void terminate(Process process) {
        process.destroy();
        Thread killer =
                new Thread(
                        () -> {
                            try {
                                if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
                                    process.destroyForcibly();
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        killer.setDaemon(true);
        killer.start();
    }

    /** Sends the operator's configuration until a registry acknowledges it. */
    void configure(String content) throws InterruptedException {
        for (int attempt = 0; attempt < 60; attempt++) {
            int registry = attempt % registryCount;
            try {
                int status =
                        Wire.call(control(registry), "PUT", "/api/config", content, 1_500).status();
                record.line("operator  PUT configuration to core-%d: %d", registry, status);
                if (status == 200) {
                    return;
                }
            } catch (IOException e) {
                record.line("operator  PUT configuration to core-%d: %s", registry, e.getMessage());
            }
            Thread.sleep(300);
        }
        throw new CannotRun("no registry acknowledged the configuration");
    }

    /** Waits until an edge says that it is ready. */
    void awaitReady(int edge) throws InterruptedException {
        for (int attempt = 0; attempt < 60; attempt++) {
            if (isReady(edge)) {
                record.line("platform  edge-%d is ready", edge);
                return;
            }
            Thread.sleep(250);
        }
        throw new CannotRun("edge-" + edge + " did not get ready");
    }

    boolean isReady(int edge) {
        try {
            return Wire.call(readiness(edge), "GET", "/api/ready", "", 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the log of a process. */
    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    @Override
    public synchronized void close() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        try {
            for (Process process : processes) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
            if (Files.exists(folder)) {
                try (Stream<Path> files = Files.walk(folder)) {
                    for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.deleteIfExists(file);
                    }
                }
            }
        } catch (IOException e) {
            System.err.println("cannot remove " + folder + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Process start(String role, String name, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        try (BufferedWriter writer = Files.newBufferedWriter(file)) {
            writer.write(settings);
        }
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().put("SISKINTRAIL_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        record.line("platform  started %s as process %d", name, process.pid());
        return process;
    }

    /** Returns the words of the {@code run} line of a role. */
    private static List<String> command(String role) throws IOException {
        Matcher run =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"")
                        .matcher(Files.readString(DEPLOY_FILE));
        if (!run.find()) {
            throw new CannotRun("deploy file has no role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    private String registryIp(int i) {
        return "%s.%d".formatted(subnet, 11 + i);
    }

    private String edgeIp(int i) {
        return "%s.%d".formatted(subnet, 31 + i);
    }

    private static String zone(int i) {
        return String.format(Locale.ROOT, "zone-%c", 'a' + i % 3);
    }

    private static boolean isFree(String subnet, int port) {
        for (int host : new int[] {11, 31}) {
            for (int p = port; p < port + 5; p++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(
                            new InetSocketAddress(
                                    InetAddress.getByName(subnet + "." + host), p));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }
}
