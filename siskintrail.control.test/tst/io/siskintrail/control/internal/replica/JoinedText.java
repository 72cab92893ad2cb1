package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.replicated.ReplicatedState;
import io.siskintrail.wire.control.StateCodec;
import java.nio.charset.StandardCharsets;

/** A state that joins all commands; the answer is the length so far. */
final class JoinedText implements ReplicatedState<String, Integer, String> {
    private String text = "";

    @Override
    public Integer apply(LogPosition position, long atMillis, String command) {
        text += command;
        return text.length();
    }

    @Override
    public String image() {
        return text;
    }

    @Override
    public void restore(String image) {
        text = image;
    }

    /** Commands, answers and images as text. */
    static final class Codec implements StateCodec<String, Integer, String> {

        @Override
        public byte[] encodeCommand(String command) {
            return command.getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public String decodeCommand(byte[] bytes) {
            return new String(bytes, StandardCharsets.UTF_8);
        }

        @Override
        public byte[] encodeAnswer(Integer answer) {
            return encodeCommand(answer.toString());
        }

        @Override
        public Integer decodeAnswer(byte[] bytes) {
            return Integer.valueOf(decodeCommand(bytes));
        }

        @Override
        public byte[] encodeImage(String image) {
            return encodeCommand(image);
        }

        @Override
        public String decodeImage(byte[] bytes) {
            return decodeCommand(bytes);
        }
    }
}
