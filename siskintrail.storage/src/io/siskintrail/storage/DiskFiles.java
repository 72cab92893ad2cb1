package io.siskintrail.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** {@link StorageFiles} in a folder of the file system. */
public final class DiskFiles implements StorageFiles {
    /** Size of a write: the runtime copies it to memory outside of the heap, which it keeps. */
    private static final int MAX_WRITE_BYTES = 256 << 10;

    private final Path folder;

    /** Works in {@code folder}, which must exist. */
    public DiskFiles(Path folder) {
        this.folder = folder;
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public Output append(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.APPEND);
        return new ChannelOutput(channel);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.delete(folder.resolve(name));
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private record ChannelOutput(FileChannel channel) implements Output {

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            int end = bytes.limit();
            while (bytes.position() < end) {
                bytes.limit(Math.min(end, bytes.position() + MAX_WRITE_BYTES));
                channel.write(bytes);
            }
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
