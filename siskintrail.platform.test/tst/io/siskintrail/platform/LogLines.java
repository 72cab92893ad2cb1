package io.siskintrail.platform;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the log lines of a package while a test runs. */
final class LogLines extends Handler implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 60;

    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final Logger logger;

    LogLines(String packageName) {
        logger = Logger.getLogger(packageName);
        logger.addHandler(this);
    }

    /** Waits for a line that starts with {@code start} and returns it; null after a minute. */
    String await(String start) throws InterruptedException {
        String line = lines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        while (line != null && !line.startsWith(start)) {
            line = lines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        return line;
    }

    @Override
    public void publish(LogRecord line) {
        lines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        logger.removeHandler(this);
    }
}
