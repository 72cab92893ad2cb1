package io.siskintrail.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** A process can be asked to end while its service starts. */
class ShutdownSignalTest {
    private final List<String> story = new CopyOnWriteArrayList<>();
    private final ShutdownSignal signal = new ShutdownSignal(new Recorder());

    private final class Recorder implements Service {
        @Override
        public void start() {
            story.add("started");
        }

        @Override
        public void stop() {
            story.add("stopped");
        }
    }

    @Test
    void serviceThatStillStartsIsStoppedAfterwards() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        Thread end =
                new Thread(
                        () -> {
                            asked.countDown();
                            signal.stop();
                        });

        signal.start(
                () -> {
                    end.start();
                    awaitUninterrupted(asked);
                    story.add("started");
                });
        end.join();

        assertThat(story).containsExactly("started", "stopped").inOrder();
    }

    @Test
    void serviceThatDidNotStartIsNotStopped() {
        assertThrows(
                IllegalStateException.class,
                () ->
                        signal.start(
                                () -> {
                                    throw new IllegalStateException("no disk");
                                }));

        signal.stop();

        assertThat(story).isEmpty();
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
