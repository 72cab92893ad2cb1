package io.siskintrail.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Calls randomly chosen registries as operators and endpoints do. Thread-safe. */
final class SoakRegistryClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS = 4;
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();
    private final List<FaultProxy> registries;
    private final SoakRecorder recorder;
    private final SplittableRandom random;
    private long version;

    /** Holds a response; status 0 means that there was none. */
    record Response(int status, String body) {}

    SoakRegistryClient(List<FaultProxy> registries, SoakRecorder recorder, long seed) {
        this.registries = registries;
        this.recorder = recorder;
        this.random = new SplittableRandom(seed);
    }

    /** Sends one request to a random registry. */
    Response send(String method, String path, String body) {
        URI uri = URI.create("http://" + randomRegistry().address() + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Response(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Response(0, "interrupted");
        }
    }

    /** Sends the next configuration, with retries; returns whether a registry acknowledged it. */
    synchronized boolean putNextConfiguration() {
        version += 1 + random.nextInt(3);
        String content = SoakConfiguration.format(version);
        recorder.recordSentConfiguration(version, content);
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int status = send("PUT", "/api/config", content).status();
            if (status == OK) {
                recorder.recordAcknowledgement(version);
                return true;
            }
            if (status >= 400 && status < 500) {
                recorder.recordViolation(
                        "valid version %d was refused with status %d".formatted(version, status));
            }
        }
        return false;
    }

    /** Sends an invalid configuration under the next version. */
    synchronized void putInvalidConfiguration() {
        String content =
                SoakConfiguration.format(version + 1)
                        .replace("\"service\":\"app\"", "\"service\":\"nobody\"");
        if (send("PUT", "/api/config", content).status() == OK) {
            recorder.recordViolation("an invalid configuration was acknowledged");
        }
    }

    /** Sends an older version, which must have no effect if a higher one is in force. */
    synchronized void putOlderConfiguration() {
        if (version > 0) {
            long olderVersion = 1 + random.nextLong(version);
            recorder.recordSentConfiguration(olderVersion, SoakConfiguration.format(olderVersion));
            send("PUT", "/api/config", SoakConfiguration.format(olderVersion));
        }
    }

    /** Reads the configuration; returns whether a registry returned one. */
    boolean readConfiguration() {
        long acknowledgedVersion = recorder.highestAcknowledgedVersion();
        Response response = send("GET", "/api/config", "");
        Matcher versionMatcher = VERSION.matcher(response.body());
        if (response.status() != OK || !versionMatcher.find()) {
            return false;
        }
        recorder.recordRead(
                acknowledgedVersion, Long.parseLong(versionMatcher.group(1)), response.body());
        return true;
    }

    private FaultProxy randomRegistry() {
        synchronized (random) {
            return registries.get(random.nextInt(registries.size()));
        }
    }
}
