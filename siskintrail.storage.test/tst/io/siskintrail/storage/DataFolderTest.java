package io.siskintrail.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.lib.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DataFolderTest {
    @TempDir private Path folder;

    @Test
    void diskNumberStaysWithTheFolder() {
        long first;
        try (DataFolder data = DataFolder.open(folder)) {
            assertThat(data.isNew()).isTrue();
            first = data.diskId();
        }
        try (DataFolder data = DataFolder.openFirst(folder)) {
            assertThat(data.isNew()).isFalse();
            assertThat(data.diskId()).isEqualTo(first);
        }
    }

    @Test
    void secondOwnerIsRefused() {
        try (DataFolder data = DataFolder.open(folder)) {
            StorageException e =
                    assertThrows(StorageException.class, () -> DataFolder.open(folder));
            assertThat(e.failure().code()).isEqualTo(ResultCode.DATA_FOLDER_IN_USE);
            assertThat(data.isNew()).isTrue();
        }
    }

    @Test
    void logWithoutDiskNumberIsRefused() throws IOException {
        Files.write(folder.resolve("0000000000000001.log"), new byte[1]);
        StorageException e = assertThrows(StorageException.class, () -> DataFolder.open(folder));
        assertThat(e.failure().code()).isEqualTo(ResultCode.LOG_DAMAGED);
    }

    @Test
    void stateIsFoundAgainOnARealDisk() {
        try (DataFolder data = DataFolder.open(folder)) {
            FileLogStore store = new FileLogStore(data.files(), new PlainCodec(), 1 << 20);
            store.open();
            store.write(new ReplicaEffect.AppendEntries(List.of(PlainCodec.entry(1, 1, "a"))));
            store.sync();
            store.close();
        }
        try (DataFolder data = DataFolder.open(folder)) {
            FileLogStore store = new FileLogStore(data.files(), new PlainCodec(), 1 << 20);
            assertThat(store.open().entries()).containsExactly(PlainCodec.entry(1, 1, "a"));
            store.close();
        }
    }
}
