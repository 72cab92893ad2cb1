import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start. Thread-safe. */
final class RunRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    RunRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... values) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.printf("%9.3f  %s%n", seconds, values.length == 0 ? format : format.formatted(values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
