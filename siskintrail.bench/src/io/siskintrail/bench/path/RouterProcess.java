package io.siskintrail.bench.path;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.router.RouterSettings;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router in a process of its own, which can be killed, paused and started again. */
final class RouterProcess {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int POLL_MILLIS = 30;
    private static final int HTTP_MILLIS = 1_000;
    private static final long READY_MILLIS = 30_000;
    private static final String IP = "127.0.0.3";
    private static final String HEAP = "-Xmx512m";

    private final RouterSettings settings;
    private final Path folder;
    private Process process;
    private boolean paused;

    RouterProcess(RouterSettings settings, Path folder) {
        this.settings = settings;
        this.folder = folder;
    }

    String address() {
        return settings.httpAddress();
    }

    String host() {
        return settings.host();
    }

    long pid() {
        return process.pid();
    }

    boolean isUp() {
        return process != null && process.isAlive() && !paused;
    }

    void start() throws IOException {
        Path file = folder.resolve(settings.host() + ".json");
        Files.writeString(file, MAPPER.writeValueAsString(settings));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Path log = folder.resolve(settings.host() + ".log");
        process =
                new ProcessBuilder(
                                List.of(
                                        java,
                                        HEAP,
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        "io.siskintrail.router.Main",
                                        "--settings",
                                        file.toString()))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        paused = false;
    }

    /** Waits until the router takes work and knows {@code endpoints} endpoints' models. */
    void awaitReady() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (System.nanoTime() < deadline) {
            String models = get("/v1/models");
            if (models != null && models.contains("\"id\"") && get("/health/ready") != null) {
                return;
            }
            if (!process.isAlive()) {
                throw new IOException("router " + settings.host() + " ended; see " + folder);
            }
            Thread.sleep(POLL_MILLIS);
        }
        throw new IOException("router " + settings.host() + " is not ready; see " + folder);
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    void stopGracefully() {
        process.destroy();
    }

    void pause() throws IOException, InterruptedException {
        signal("-STOP");
        paused = true;
    }

    void resume() throws IOException, InterruptedException {
        if (paused) {
            signal("-CONT");
            paused = false;
        }
    }

    Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the body of a GET, or null when the router does not answer it with 200. */
    String get(String path) {
        try {
            HttpURLConnection http =
                    (HttpURLConnection)
                            URI.create("http://" + address() + path).toURL().openConnection();
            http.setConnectTimeout(HTTP_MILLIS);
            http.setReadTimeout(HTTP_MILLIS);
            if (http.getResponseCode() != HttpURLConnection.HTTP_OK) {
                return null;
            }
            return new String(http.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return null;
        }
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }
}
