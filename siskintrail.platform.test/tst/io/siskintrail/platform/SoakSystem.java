package io.siskintrail.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Three registries, two edges and four endpoints on loopback addresses of one subnet. */
final class SoakSystem implements AutoCloseable {
    private static final int REGISTRIES = 3;
    private static final int EDGES = 2;

    /** Time that an edge has from SIGTERM to its exit. */
    static final int GRACE_SECONDS = 3;

    private static final int CALL_PORT = 18_748;
    private static final int FRONT_PORT = 18_740;
    private static final int READINESS_PORT = 18_749;
    private static final int LINK_PORT = 18_200;
    private static final int METRICS_PORT = 18_201;

    private final Path folder;
    private final String subnet;
    private final List<SoakProcess> registries = new ArrayList<>();
    private final List<SoakProcess> edges = new ArrayList<>();
    private final List<FaultProxy> callProxies = new ArrayList<>();
    private final List<FaultProxy> frontProxies = new ArrayList<>();
    private final List<SoakEndpoint> endpoints = new ArrayList<>();

    /**
     * Starts the processes.
     *
     * @param folder receives settings, logs and data
     * @param subnet first three bytes of the addresses, such as {@code 127.9.1}; no other system
     *     may use it at the same time
     * @param recorder records what the endpoints observe
     * @param newAnswers returns the answers of each endpoint, empty if it answers once
     */
    SoakSystem(
            Path folder,
            String subnet,
            SoakRecorder recorder,
            Supplier<Optional<SoakTwiceEndpoint>> newAnswers)
            throws IOException {
        this.folder = folder;
        this.subnet = subnet;
        for (int i = 0; i < REGISTRIES; i++) {
            SoakProcess process = new SoakProcess("registry", writeRegistry(i, true));
            process.start();
            registries.add(process);
            callProxies.add(newProxy(registryIp(i), CALL_PORT));
        }
        for (int i = 0; i < EDGES; i++) {
            SoakProcess process = new SoakProcess("edge", writeEdge(i));
            process.start();
            edges.add(process);
            frontProxies.add(newProxy(edgeIp(i), FRONT_PORT));
        }
        InetAddress endpointIp = InetAddress.getByName(subnet + ".100");
        for (String name : List.of("app-a", "app-b", "llm-a", "llm-b")) {
            String service = name.substring(0, 3);
            endpoints.add(new SoakEndpoint(name, service, endpointIp, recorder, newAnswers.get()));
        }
    }

    /**
     * Rewrites the settings of the registries so that a registry that starts from now on joins the
     * existing replicated log and never creates a new one.
     */
    void disableBootstrap() throws IOException {
        for (int i = 0; i < REGISTRIES; i++) {
            writeRegistry(i, false);
        }
    }

    List<SoakProcess> registries() {
        return registries;
    }

    List<SoakProcess> edges() {
        return edges;
    }

    /** Returns the processes of all registries and edges. */
    List<SoakProcess> processes() {
        return Stream.concat(registries.stream(), edges.stream()).toList();
    }

    List<FaultProxy> callProxies() {
        return callProxies;
    }

    List<FaultProxy> frontProxies() {
        return frontProxies;
    }

    /** Returns the address at which an edge itself accepts clients. */
    InetSocketAddress frontAddress(int edgeIndex) {
        return new InetSocketAddress(edgeIp(edgeIndex), FRONT_PORT);
    }

    List<SoakEndpoint> endpoints() {
        return endpoints;
    }

    /**
     * Returns how many log lines of all registries report that a replica of the given registry was
     * removed from the replica set, as after a disk loss.
     */
    long countRemovalLogLines(int registryIndex) {
        String removalText = "Remove[replica=" + registryIp(registryIndex) + ":";
        return registries.stream().mapToLong(process -> countLines(process, removalText)).sum();
    }

    private static long countLines(SoakProcess process, String text) {
        try {
            return process.fullLog().lines().filter(line -> line.contains(text)).count();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the log of a registry", e);
        }
    }

    /** Deletes the data folder of a registry that is not running. */
    void deleteData(int registryIndex) throws IOException {
        try (Stream<Path> files = Files.walk(dataFolder(registryIndex))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Appends an incomplete record to the newest log file of a registry that is not running. */
    void appendTornWrite(int registryIndex) throws IOException {
        try (Stream<Path> files = Files.walk(dataFolder(registryIndex))) {
            Path newestLog =
                    files.filter(Files::isRegularFile)
                            .filter(file -> file.getFileName().toString().endsWith(".log"))
                            .max(Comparator.comparing(Path::toString))
                            .orElse(null);
            if (newestLog != null) {
                Files.write(newestLog, new byte[] {0, 0, 1, 7, 9}, StandardOpenOption.APPEND);
            }
        }
    }

    @Override
    public void close() throws IOException {
        registries.forEach(SoakProcess::close);
        edges.forEach(SoakProcess::close);
        for (FaultProxy proxy : callProxies) {
            proxy.close();
        }
        for (FaultProxy proxy : frontProxies) {
            proxy.close();
        }
        for (SoakEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    private FaultProxy newProxy(String ip, int port) throws IOException {
        return new FaultProxy(
                InetAddress.getByName(subnet + ".100"), new InetSocketAddress(ip, port));
    }

    private String registryIp(int i) {
        return "%s.%d".formatted(subnet, 11 + i);
    }

    private String edgeIp(int i) {
        return "%s.%d".formatted(subnet, 21 + i);
    }

    private Path dataFolder(int registryIndex) {
        return folder.resolve("data-" + registryIndex);
    }

    private Path writeRegistry(int i, boolean founding) throws IOException {
        String settings =
                """
                {"host":"core-%d","domain":"%s","ip":"%s","callAddress":"%s:%d","linkPort":%d,
                 "metricsPort":%d,"seeds":[%s],"founding":%s,"dataFolder":"%s",
                 "heartbeatMillis":500,"toleratedLosses":1}
                """
                        .formatted(
                                i,
                                failureDomain(i),
                                registryIp(i),
                                registryIp(i),
                                CALL_PORT,
                                LINK_PORT,
                                METRICS_PORT,
                                formatSeeds(),
                                founding,
                                dataFolder(i));
        return writeSettings("core-" + i, settings);
    }

    private Path writeEdge(int i) throws IOException {
        String settings =
                """
                {"host":"edge-%d","domain":"%s","ip":"%s","frontAddress":"%s:%d",
                 "readinessAddress":"%s:%d","linkPort":%d,"metricsPort":%d,"seeds":[%s],
                 "graceSeconds":%d,"outOfRotationSeconds":1,"retryRatio":0.8,"retryReserve":50,
                 "retryWindowSeconds":10}
                """
                        .formatted(
                                i,
                                failureDomain(i),
                                edgeIp(i),
                                edgeIp(i),
                                FRONT_PORT,
                                edgeIp(i),
                                READINESS_PORT,
                                LINK_PORT,
                                METRICS_PORT,
                                formatSeeds(),
                                GRACE_SECONDS);
        return writeSettings("edge-" + i, settings);
    }

    private Path writeSettings(String name, String text) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, text);
        return file;
    }

    private String formatSeeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < REGISTRIES; i++) {
            seeds.add("\"%s:%d\"".formatted(registryIp(i), CALL_PORT));
        }
        return String.join(",", seeds);
    }

    private static String failureDomain(int i) {
        return i % 2 == 0 ? "a" : "b";
    }
}
