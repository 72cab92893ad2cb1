package io.siskintrail.service;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own and never blocks the thread that logs. Each event may be
 * written a number of times a second; what goes beyond is counted and told in a line at the end of
 * the second, as are lines that were dropped because the queue was full.
 */
final class BoundedLogHandler extends Handler {
    private static final int QUEUE_LINES = 4_096;
    private static final int LINES_PER_SECOND = 60;
    private static final long SECOND_MILLIS = 1_000;
    private static final long POLL_MILLIS = 1_000;

    /** Longest wait for a line that is being written; an output that nobody reads blocks it. */
    private static final long CLOSE_MILLIS = 200;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final PrintStream out;
    private final Thread writer;
    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, Integer> left = new HashMap<>();
    private long second;
    private int dropped;

    /** Starts to write to {@code out}. */
    BoundedLogHandler(PrintStream out) {
        this.out = out;
        setFormatter(new LineFormatter());
        writer = new Thread(this::run, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord line) {
        synchronized (this) {
            endSecond(line.getMillis() / SECOND_MILLIS);
            String event = eventOf(line.getMessage());
            if (written.merge(event, 1, Integer::sum) > LINES_PER_SECOND) {
                left.merge(event, 1, Integer::sum);
                return;
            }
        }
        offer(line);
    }

    @Override
    public void flush() {
        synchronized (out) {
            writeQueued();
        }
    }

    private void writeQueued() {
        LogRecord line = queue.poll();
        while (line != null) {
            write(line);
            line = queue.poll();
        }
        out.flush();
    }

    /** Ends the thread that writes, and writes what is left; waits a moment for a slow output. */
    @Override
    public void close() {
        writer.interrupt();
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        flush();
    }

    private void endSecond(long now) {
        if (now == second) {
            return;
        }
        second = now;
        written.clear();
        if (dropped > 0) {
            left.put("queue.full", dropped);
            dropped = 0;
        }
        left.forEach(
                (event, count) ->
                        offer(
                                new LogRecord(
                                        java.util.logging.Level.INFO,
                                        "event=log.suppressed of=%s count=%d"
                                                .formatted(event, count))));
        left.clear();
    }

    private void offer(LogRecord line) {
        if (!queue.offer(line)) {
            dropped++;
        }
    }

    private void run() {
        try {
            while (true) {
                LogRecord line = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    writeGuarded(line);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(LogRecord line) {
        byte[] bytes = getFormatter().format(line).getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
    }

    /** Keeps the thread: a line that cannot be written is counted, later ones still come. */
    private void writeGuarded(LogRecord line) {
        try {
            writeThrough(line);
        } catch (RuntimeException | Error e) {
            synchronized (this) {
                dropped++;
            }
            ThreadFaults.caught(e);
        }
    }

    private void writeThrough(LogRecord line) {
        synchronized (out) {
            write(line);
            writeQueued();
        }
    }

    private static String eventOf(String message) {
        int space = message.indexOf(' ');
        return space < 0 ? message : message.substring(0, space);
    }
}
