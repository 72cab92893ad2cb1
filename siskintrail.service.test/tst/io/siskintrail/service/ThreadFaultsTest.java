package io.siskintrail.service;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a process that looks alive although one of its threads has ended. */
@Timeout(60)
class ThreadFaultsTest {
    private static final long WAIT_SECONDS = 20;

    /** A process whose second thread runs out of memory; its first one would wait for ever. */
    static final class BrokenProcess {
        private BrokenProcess() {}

        public static void main(String[] args) throws InterruptedException {
            ThreadFaults.endProcessOnFaults();
            new Thread(BrokenProcess::fail, "second").start();
            new CountDownLatch(1).await();
        }

        private static void fail() {
            throw new OutOfMemoryError("Java heap space");
        }
    }

    @Test
    void processEndsWithTheThread() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process =
                new ProcessBuilder(
                                java,
                                "-cp",
                                System.getProperty("java.class.path"),
                                BrokenProcess.class.getName())
                        .redirectErrorStream(true)
                        .start();
        try {
            assertThat(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            String log =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(process.exitValue()).isEqualTo(ThreadFaults.EXIT_BROKEN);
            assertThat(log).contains("event=process.ended code=1098 thread=second");
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void periodicTaskGoesOnAfterAnError() throws InterruptedException {
        ControlLoop loop = new ControlLoop("test");
        CountDownLatch runs = new CountDownLatch(3);
        loop.every(
                5,
                () -> {
                    runs.countDown();
                    throw new StackOverflowError();
                });
        assertThat(runs.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        loop.stop();
    }
}
