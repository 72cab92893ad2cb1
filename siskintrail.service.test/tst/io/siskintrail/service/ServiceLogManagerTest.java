package io.siskintrail.service;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** The JDK resets the log manager while the service is still stopping. */
class ServiceLogManagerTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @Test
    void linesAreWrittenUntilTheServiceHasStopped() {
        ServiceLogManager manager = new ServiceLogManager();
        Logger logger = new Logger("stopping", null) {};
        manager.addLogger(logger);
        logger.addHandler(new BoundedLogHandler(new PrintStream(out)));

        manager.reset();
        logger.log(new LogRecord(Level.INFO, "event=edge.stopped"));
        manager.end();

        assertThat(out.toString(StandardCharsets.UTF_8)).contains("event=edge.stopped");
        assertThat(logger.getHandlers()).isEmpty();
    }
}
