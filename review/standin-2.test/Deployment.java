import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment of the project's own programs as separate processes on loopback addresses.
 * Each machine has an address of its own in 127.0.0.0/8; the ports are the same on all of them. The
 * commands are the run lines of the deploy file.
 */
final class Deployment implements AutoCloseable {
    private static final long START_MILLIS = 20_000;

    private static final int CALL_MILLIS = 1_500;
    private static final int SLOTS = 6;

    /** More than an interval between heartbeats. */
    private static final long SETTLE_MILLIS = 1_500;

    final Path folder;
    final Recorder recorder;
    private final String net;
    private final int controlPort;
    private final int frontPort;
    private final int readyPort;
    private final int linkPort;
    private final int metricsPort;
    private final int registries;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();

    /** Prepares a deployment of {@code registries} machines of the core; nothing is started. */
    Deployment(int registries, Recorder recorder) throws IOException {
        this.registries = registries;
        this.recorder = recorder;
        folder = Files.createTempDirectory("review-2-");
        long pid = ProcessHandle.current().pid();
        net = "127." + (10 + pid % 200) + "." + (pid / 200) % 250 + ".";
        controlPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
        linkPort = freePort();
        metricsPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    String registryIp(int i) {
        return net + (10 + i);
    }

    String edgeIp(int i) {
        return net + (100 + i);
    }

    String replicaIp(int i) {
        return net + (200 + i);
    }

    int frontPort() {
        return frontPort;
    }

    /**
     * Starts the core and one edge, and waits until the edge serves {@code configuration} with
     * replicas at the first {@code replicas} replica addresses, each in a zone of its own. The edge
     * is in the zone of the first one.
     */
    Heartbeats startWithReplicas(String configuration, int replicas)
            throws IOException, InterruptedException {
        startRegistries();
        startEdge(0);
        putConfiguration(configuration);
        Heartbeats beats = new Heartbeats(this, registries);
        for (int i = 0; i < replicas; i++) {
            String address = replicaIp(i) + ":" + Replica.PORT;
            beats.add("i-0000000" + i, ShopConfiguration.SERVICE, address, "z" + i, SLOTS);
        }
        beats.start();
        awaitReady(0);
        Thread.sleep(SETTLE_MILLIS);
        return beats;
    }

    void startRegistries() throws IOException {
        for (int i = 0; i < registries; i++) {
            startRegistry(i, true);
        }
    }

    void startRegistry(int i, boolean founding) throws IOException {
        Path data = folder.resolve("data-" + i);
        Files.createDirectories(data);
        String settings =
                """
                {"host":"core-%d","domain":"z%d","ip":"%s","callAddress":"%s:%d","linkPort":%d,
                 "metricsPort":%d,"seeds":[%s],"founding":%s,"dataFolder":"%s",
                 "heartbeatMillis":1200,"toleratedLosses":%d}
                """
                        .formatted(
                                i,
                                i % 3,
                                registryIp(i),
                                registryIp(i),
                                controlPort,
                                linkPort,
                                metricsPort,
                                seeds(),
                                founding,
                                data,
                                (registries - 1) / 2);
        start("registry-" + i, "registry", settings);
    }

    void startEdge(int i) throws IOException {
        String settings =
                """
                {"host":"edge-%d","domain":"z%d","ip":"%s","frontAddress":"%s:%d",
                 "readinessAddress":"%s:%d","linkPort":%d,"metricsPort":%d,"seeds":[%s],
                 "graceSeconds":8,"outOfRotationSeconds":2.5,"retryRatio":0.8,"retryReserve":150,
                 "retryWindowSeconds":10,"sharedOrderMinHosts":16}
                """
                        .formatted(
                                i,
                                i % 3,
                                edgeIp(i),
                                edgeIp(i),
                                frontPort,
                                edgeIp(i),
                                readyPort,
                                linkPort,
                                metricsPort,
                                seeds());
        start("edge-" + i, "edge", settings);
    }

    /** Removes all files of the data folder of a registry, which must not run. */
    void emptyDisk(int i) throws IOException {
        deleteAll(folder.resolve("data-" + i));
    }

    /** Reads the configuration at a registry. */
    Answer readConfiguration(int i) {
        String url = "http://" + registryIp(i) + ":" + controlPort + "/api/config";
        return exchange("GET", url, null, CALL_MILLIS);
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Ends a process as SIGKILL does, and waits for its end. */
    void kill(String name) throws InterruptedException {
        recorder.add("kill -KILL " + name);
        Process process = processes.remove(name);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Sends a signal such as TERM, STOP, CONT or HUP. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        recorder.add("kill -" + signal + " " + name);
        long pid = processes.get(name).pid();
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    /** Sends a configuration to registry after registry until one acknowledges it. */
    void putConfiguration(String json) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        int i = 0;
        while (System.nanoTime() < end) {
            int status = call("PUT", registryIp(i++ % registries), "/api/config", json);
            if (status == 200) {
                recorder.add("configuration acknowledged");
                return;
            }
            Thread.sleep(200);
        }
        throw new CannotRun("no registry acknowledged the configuration");
    }

    /** Waits until an edge says that it is ready. */
    void awaitReady(int edge) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        while (System.nanoTime() < end) {
            if (isReady(edge)) {
                recorder.add("edge-" + edge + " is ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new CannotRun("edge-" + edge + " is not ready");
    }

    boolean isReady(int edge) {
        return get("http://" + edgeIp(edge) + ":" + readyPort + "/api/ready").status() == 200;
    }

    /** Returns the status of a call to a registry, 0 without an answer. */
    int call(String method, String ip, String path, String body) {
        return exchange(method, "http://" + ip + ":" + controlPort + path, body, CALL_MILLIS).status();
    }

    record Answer(int status, String body) {}

    static Answer get(String url) {
        return exchange("GET", url, null, CALL_MILLIS);
    }

    static Answer exchange(String method, String url, String body, int millis) {
        try {
            HttpURLConnection c = (HttpURLConnection) new URL(url).openConnection();
            c.setConnectTimeout(millis);
            c.setReadTimeout(millis);
            c.setRequestMethod(method);
            if (body != null) {
                c.setDoOutput(true);
                c.setRequestProperty("Content-Type", "application/json");
                c.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
            }
            int status = c.getResponseCode();
            InputStream in = status < 400 ? c.getInputStream() : c.getErrorStream();
            String text =
                    in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return new Answer(status, text);
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    @Override
    public void close() {
        endProcesses();
        for (Process p : processes.values()) {
            try {
                p.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            deleteAll(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void deleteAll(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
    }

    private String seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, registries); i++) {
            seeds.add("\"" + registryIp(i) + ":" + controlPort + "\"");
        }
        return String.join(",", seeds);
    }

    private void start(String name, String role, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(runLine(role).split(" "));
        builder.environment().put("SISKINTRAIL_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        recorder.add("started " + name + ", process " + processes.get(name).pid());
    }

    private static String runLine(String role) throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        Pattern pattern =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"");
        Matcher matcher = pattern.matcher(file);
        if (!matcher.find()) {
            throw new CannotRun("the deploy file has no role " + role);
        }
        return matcher.group(1);
    }

    private int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(net + "1"))) {
            return s.getLocalPort();
        }
    }

    /** Thrown when a case cannot run, which is no result. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }
}
