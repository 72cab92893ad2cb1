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

/**
 * Asks registries as operators and endpoints do: any of them, and again after a failure.
 * Thread-safe.
 */
final class SoakOperator {
    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int TRIES = 4;
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(PATIENCE)
                    .build();
    private final List<FaultProxy> registries;
    private final SoakEvidence evidence;
    private final SplittableRandom random;
    private long version;

    /** An answer; status 0 when there was none. */
    record Answer(int status, String body) {}

    SoakOperator(List<FaultProxy> registries, SoakEvidence evidence, long seed) {
        this.registries = registries;
        this.evidence = evidence;
        this.random = new SplittableRandom(seed);
    }

    /** Asks one registry. */
    Answer ask(String method, String path, String body) {
        URI uri = URI.create("http://" + any().address() + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(PATIENCE)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(answer.statusCode(), answer.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }

    /**
     * Sends the next configuration, a few times if need be; returns whether it was acknowledged.
     */
    synchronized boolean change() {
        version += 1 + random.nextInt(3);
        String content = SoakConfiguration.of(version);
        evidence.configured(version, content);
        for (int i = 0; i < TRIES; i++) {
            int status = ask("PUT", "/api/config", content).status();
            if (status == OK) {
                evidence.acknowledged(version);
                return true;
            }
            if (status >= 400 && status < 500) {
                evidence.broken("valid version %d was refused: %d".formatted(version, status));
            }
        }
        return false;
    }

    /** Sends what is no configuration under the next version. */
    synchronized void spoil() {
        String content =
                SoakConfiguration.of(version + 1)
                        .replace("\"service\":\"app\"", "\"service\":\"nobody\"");
        if (ask("PUT", "/api/config", content).status() == OK) {
            evidence.broken("an invalid configuration was acknowledged");
        }
    }

    /** Sends an older version, which must change nothing if a higher one is in force. */
    synchronized void repeat() {
        if (version > 0) {
            long older = 1 + random.nextLong(version);
            evidence.configured(older, SoakConfiguration.of(older));
            ask("PUT", "/api/config", SoakConfiguration.of(older));
        }
    }

    /** Reads the configuration back; returns whether that was answered. */
    boolean read() {
        long least = evidence.acknowledged();
        Answer answer = ask("GET", "/api/config", "");
        Matcher found = VERSION.matcher(answer.body());
        if (answer.status() != OK || !found.find()) {
            return false;
        }
        evidence.readBack(least, Long.parseLong(found.group(1)), answer.body());
        return true;
    }

    private FaultProxy any() {
        synchronized (random) {
            return registries.get(random.nextInt(registries.size()));
        }
    }
}
