package io.siskintrail.service;

import io.siskintrail.lib.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads a settings file again when the process gets SIGHUP or the file has changed, and hands the
 * settings to the service. Settings that cannot be read are logged and the old ones stay.
 *
 * @param <T> the settings
 */
final class SettingsWatch<T> {
    private static final System.Logger LOG = System.getLogger(SettingsWatch.class.getName());

    /** Time between two looks at the file. */
    private static final long POLL_MILLIS = 1_000;

    private final HangUp hangUp;
    private final Path file;
    private final SettingsFormat<T> format;
    private Reloadable<T> service;
    private String content;

    /** Remembers what the file holds now; to be made before the settings are read from it. */
    SettingsWatch(HangUp hangUp, Path file, SettingsFormat<T> format) {
        this.hangUp = hangUp;
        this.file = file;
        this.format = format;
        this.content = read();
    }

    /** Begins to tell {@code reloadable} of changes since the watch was made, on a thread. */
    void start(Reloadable<T> reloadable) {
        service = reloadable;
        Thread thread = new Thread(this::run, "settings-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                lookGuarded(hangUp.await(POLL_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Keeps the thread: without it no further change of the settings would be heard of. */
    private void lookGuarded(boolean asked) {
        try {
            look(asked);
        } catch (RuntimeException | Error e) {
            LOG.log(System.Logger.Level.ERROR, "event=settings.reload.failed", e);
            ThreadFaults.caught(e);
        }
    }

    private void look(boolean asked) {
        String now = read();
        if (now == null || !asked && now.equals(content)) {
            return;
        }
        content = now;
        Result<T> settings = format.read(file);
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
