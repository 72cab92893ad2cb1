package io.siskintrail.wire.control;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.replicated.ReplicatedState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LocalControlClientTest {
    private final long[] clock = {1_000};
    private final ControlClient client =
            new LocalControlClient<>(new Joined(), new TextCodec(), () -> clock[0]);

    @Test
    void answersComeFromTheStateInOrder() {
        assertThat(propose("a")).isEqualTo("a");
        assertThat(propose("b")).isEqualTo("ab");
    }

    @Test
    void lateListenerGetsTheImageThenEntries() {
        propose("a");
        Recorder recorder = new Recorder();
        client.follow(recorder);
        propose("b");
        assertThat(recorder.seen).containsExactly("1 image a", "2 at 1000 b").inOrder();
    }

    @Test
    void stampedTimeNeverDecreases() {
        Recorder recorder = new Recorder();
        client.follow(recorder);
        propose("a");
        clock[0] = 500;
        propose("b");
        assertThat(recorder.seen).containsExactly("1 at 1000 a", "2 at 1000 b").inOrder();
    }

    private String propose(String text) {
        byte[] answer = client.propose(utf8(text)).toCompletableFuture().join();
        return new String(answer, StandardCharsets.UTF_8);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static final class Recorder implements CommittedListener {
        private final List<String> seen = new ArrayList<>();

        @Override
        public void entry(LogPosition position, long atMillis, byte[] command) {
            seen.add("%d at %d %s".formatted(position.index(), atMillis, new String(command)));
        }

        @Override
        public void snapshot(LogPosition position, byte[] image) {
            seen.add("%d image %s".formatted(position.index(), new String(image)));
        }
    }

    private static final class Joined implements ReplicatedState<String, String, String> {
        private String text = "";

        @Override
        public String apply(LogPosition position, long atMillis, String command) {
            text += command;
            return text;
        }

        @Override
        public String image() {
            return text;
        }

        @Override
        public void restore(String image) {
            text = image;
        }
    }

    private static final class TextCodec implements StateCodec<String, String, String> {
        @Override
        public byte[] encodeCommand(String command) {
            return utf8(command);
        }

        @Override
        public String decodeCommand(byte[] bytes) {
            return new String(bytes, StandardCharsets.UTF_8);
        }

        @Override
        public byte[] encodeAnswer(String answer) {
            return utf8(answer);
        }

        @Override
        public String decodeAnswer(byte[] bytes) {
            return decodeCommand(bytes);
        }

        @Override
        public byte[] encodeImage(String image) {
            return utf8(image);
        }

        @Override
        public String decodeImage(byte[] bytes) {
            return decodeCommand(bytes);
        }
    }
}
