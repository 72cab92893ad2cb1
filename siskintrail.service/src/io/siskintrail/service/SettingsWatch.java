package io.siskintrail.service;

import io.siskintrail.lib.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Reads a settings file again when the process gets SIGHUP or the file has changed, and hands the
 * settings to the service. Settings that cannot be read are logged and the old ones stay.
 *
 * @param <T> the settings record
 */
final class SettingsWatch<T> {
    private static final System.Logger LOG = System.getLogger(SettingsWatch.class.getName());
    private static final String HANG_UP = "HUP";

    /** Time between two looks at the file. */
    private static final long POLL_MILLIS = 1_000;

    private final Path file;
    private final Class<T> type;
    private final Reloadable<T> service;
    private final Semaphore signalled = new Semaphore(0);
    private String content;

    SettingsWatch(Path file, Class<T> type, Reloadable<T> service) {
        this.file = file;
        this.type = type;
        this.service = service;
    }

    /** Begins to watch, on a thread of its own. */
    void start() {
        content = read();
        Signal.handle(new Signal(HANG_UP), s -> signalled.release());
        Thread thread = new Thread(this::run, "settings-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                boolean asked = signalled.tryAcquire(POLL_MILLIS, TimeUnit.MILLISECONDS);
                look(asked);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look(boolean asked) {
        String now = read();
        if (now == null || !asked && now.equals(content)) {
            return;
        }
        content = now;
        Result<T> settings = SettingsReader.read(file, type);
        if (settings instanceof Result.Ok<T> ok) {
            LogEvent.info(LOG, "settings.reloaded").with("signal", asked).write();
            service.reload(ok.value());
            return;
        }
        LogEvent.warning(LOG, "settings.refused")
                .with("detail", ((Result.Err<T>) settings).failure())
                .write();
    }

    private String read() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            LogEvent.warning(LOG, "settings.unreadable").with("cause", e.getMessage()).write();
            return null;
        }
    }
}
