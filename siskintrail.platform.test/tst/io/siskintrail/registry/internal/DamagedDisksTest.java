package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Registries whose disks cannot be read when they start again. */
@Timeout(60)
class DamagedDisksTest {
    private static final int FLIPPED_OFFSET = 60;

    /** Time in which registries with empty disks would begin a log. */
    private static final long FORMATION_MILLIS = 3_000;

    @TempDir Path folder;
    private LoopbackRegistries registries;

    @AfterEach
    void stop() {
        registries.stop(() -> {});
    }

    /**
     * Guards against a new log, without what was acknowledged, beside files that were put aside.
     */
    @Test
    void noLogIsBegunWhereAllDisksWereDamaged() throws Exception {
        restartWithDamage(LoopbackRegistries.COUNT);
        registries.sendChanges(FORMATION_MILLIS);
        assertThat(registries.put()).isEqualTo(503);
        assertThat(registries.call(0, HttpRequest.newBuilder().GET())).isEmpty();
    }

    @Test
    void oneDamagedDiskIsFilledByTheOthers() throws Exception {
        restartWithDamage(1);
        registries.awaitAcknowledgement();
        registries.awaitRead(0);
    }

    /** Has changes acknowledged, then starts all again, some on damaged disks. */
    private void restartWithDamage(int damaged) throws Exception {
        registries = new LoopbackRegistries(folder);
        startAll();
        registries.awaitAcknowledgement();
        registries.sendChanges(200);
        registries.stop(() -> {});
        for (int i = 0; i < damaged; i++) {
            damage(registries.folder(i));
        }
        startAll();
    }

    private void startAll() {
        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            registries.start(i, UnaryOperator.identity());
        }
    }

    private static void damage(Path data) throws IOException {
        List<Path> segments;
        try (Stream<Path> files = Files.list(data)) {
            segments = files.filter(f -> f.toString().endsWith(".log")).sorted().toList();
        }
        for (Path segment : segments) {
            byte[] bytes = Files.readAllBytes(segment);
            if (bytes.length > FLIPPED_OFFSET) {
                bytes[FLIPPED_OFFSET] ^= 1;
                Files.write(segment, bytes);
            }
        }
    }
}
