import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String line) {
        out.printf("%9.3f s  %s%n", (System.nanoTime() - startedAt) / 1e9, line);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
