package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.storage.StorageFiles;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Registries whose disks are full for a moment, one after another. */
@Timeout(120)
class FullDiskTest {
    /** A few attempts to open the disk again. */
    private static final long FULL_MILLIS = 1_200;

    @TempDir Path folder;
    private final List<FullableFiles> disks = new ArrayList<>();
    private LoopbackRegistries registries;

    @AfterEach
    void stop() {
        registries.stop(() -> disks.forEach(disk -> disk.setFull(false)));
    }

    /** Guards against a registry that never writes again after its disk was full. */
    @ParameterizedTest
    @EnumSource(FullableFiles.Refusal.class)
    void changesAreAcknowledgedAfterEachDiskWasFull(FullableFiles.Refusal refusal)
            throws Exception {
        registries = new LoopbackRegistries(folder);
        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            registries.start(i, files -> disk(files, refusal));
        }
        registries.awaitAcknowledgement();

        for (FullableFiles disk : disks) {
            disk.setFull(true);
            registries.sendChanges(FULL_MILLIS);
            disk.setFull(false);
            registries.sendChanges(FULL_MILLIS);
        }

        registries.awaitAcknowledgement();
        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            assertThat(disks.get(i).refused()).isGreaterThan(0);
            registries.awaitRead(i);
        }
    }

    private StorageFiles disk(StorageFiles files, FullableFiles.Refusal refusal) {
        FullableFiles fullable = new FullableFiles(files, refusal);
        disks.add(fullable);
        return fullable;
    }
}
