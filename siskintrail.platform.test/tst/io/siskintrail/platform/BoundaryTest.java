package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Only the platform folder contains platform names, and it contains no serving logic. */
class BoundaryTest {
    private static final Path ROOT = Path.of(System.getProperty("siskintrail.root"));
    private static final Path PLATFORM = ROOT.resolve("platform");
    private static final int MAX_LINES = 900;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Replica",
                "X-Not-Executed",
                "X-Expect-",
                "X-Request-Deadline",
                "X-Kv-",
                "Kv-From",
                "X-Tenant",
                "X-Token-Usage",
                "X-Prompt-Prefix",
                "SISKINTRAIL_SETTINGS",
                "/api/config",
                "/api/replicas",
                "/api/rollouts",
                "/api/kv-",
                "io.siskintrail.platform"
            })
    void nameOccursOnlyInThePlatformFolder(String name) {
        List<Path> filesOutside =
                sources(ROOT)
                        .filter(p -> !p.startsWith(PLATFORM))
                        .filter(p -> !p.toString().contains(".test"))
                        .filter(p -> read(p).contains(name))
                        .toList();

        assertThat(filesOutside).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Placement",
                "WaitingRoom",
                "SilenceRule",
                "RetryBudget",
                "HealthMeter",
                "EndpointDirectory",
                "RouteTable",
                "StreamJournal",
                "internal.consensus",
                "edge.internal",
                "registry.internal"
            })
    void platformDoesNotUseServingLogic(String internalName) {
        List<Path> filesInside =
                sources(PLATFORM).filter(p -> read(p).contains(internalName)).toList();

        assertThat(filesInside).isEmpty();
    }

    @Test
    void platformStaysSmall() {
        long lines = sources(PLATFORM).mapToLong(p -> read(p).lines().count()).sum();

        assertThat(lines).isAtMost(MAX_LINES);
        assertThat(lines).isAtLeast(1);
    }

    private static Stream<Path> sources(Path folder) {
        try (Stream<Path> all = Files.walk(folder)) {
            return all
                    .filter(p -> p.toString().endsWith(".java"))
                    .filter(p -> !p.toString().contains("/target/"))
                    .toList()
                    .stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
