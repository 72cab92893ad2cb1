package io.siskintrail.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A folder that is removed with all its files in the end.
 *
 * @param path the folder
 */
record TemporaryFolder(Path path) implements AutoCloseable {

    /** Makes a folder whose name begins with {@code prefix}. */
    static TemporaryFolder create(String prefix) throws IOException {
        return new TemporaryFolder(Files.createTempDirectory(prefix));
    }

    @Override
    public void close() throws IOException {
        List<Path> deepestFirst;
        try (Stream<Path> paths = Files.walk(path)) {
            deepestFirst = paths.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : deepestFirst) {
            Files.delete(file);
        }
    }
}
