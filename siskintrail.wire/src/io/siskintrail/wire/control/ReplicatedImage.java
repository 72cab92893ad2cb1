package io.siskintrail.wire.control;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.session.SessionTable;
import io.siskintrail.wire.ThriftCodec;
import io.siskintrail.wire.gen.consensus.RecordedAnswerData;
import io.siskintrail.wire.gen.consensus.ReplicatedImageData;
import io.siskintrail.wire.gen.consensus.SessionImageData;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.thrift.TException;

/**
 * What the image of a snapshot holds.
 *
 * @param sessions the sessions of all clients
 * @param state the encoded image of the replicated state
 */
public record ReplicatedImage(List<SessionTable.Image> sessions, byte[] state) {

    /** Returns the bytes of this image. */
    public Payload encode() {
        List<SessionImageData> all = new ArrayList<>(sessions.size());
        sessions.forEach(s -> all.add(data(s)));
        return Payload.wrap(
                ThriftCodec.encode(new ReplicatedImageData(all, ByteBuffer.wrap(state))));
    }

    /**
     * Returns the image in {@code bytes}.
     *
     * @throws IllegalArgumentException when it is none
     */
    public static ReplicatedImage decode(Payload bytes) {
        try {
            ReplicatedImageData data = ThriftCodec.decode(bytes.array(), new ReplicatedImageData());
            List<SessionTable.Image> all = new ArrayList<>(data.getSessionsSize());
            data.getSessions().forEach(s -> all.add(value(s)));
            return new ReplicatedImage(all, data.getState());
        } catch (TException e) {
            throw new IllegalArgumentException("bytes are no image of the control state", e);
        }
    }

    private static SessionImageData data(SessionTable.Image image) {
        List<RecordedAnswerData> answers = new ArrayList<>(image.answers().size());
        image.answers()
                .forEach(
                        (number, answer) ->
                                answers.add(
                                        new RecordedAnswerData(
                                                number, ByteBuffer.wrap(answer.array()))));
        return new SessionImageData(image.client(), image.seenAtMillis(), image.floor(), answers);
    }

    private static SessionTable.Image value(SessionImageData data) {
        Map<Long, Payload> answers = new TreeMap<>();
        data.getAnswers().forEach(a -> answers.put(a.getNumber(), Payload.wrap(a.getAnswer())));
        return new SessionTable.Image(
                data.getClient(), data.getSeenAtMillis(), data.getFloor(), answers);
    }
}
