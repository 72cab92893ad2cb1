package io.siskintrail.wire;

import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.FollowerEffect;
import io.siskintrail.internal.control.FollowerInput;
import io.siskintrail.internal.control.PublisherEffect;
import io.siskintrail.internal.control.PublisherInput;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.gen.control.ConfigurationData;
import io.siskintrail.wire.gen.control.CurrencyMessageData;
import io.siskintrail.wire.gen.control.LeaderAnswerData;
import io.siskintrail.wire.gen.control.PeerAnswerData;
import io.siskintrail.wire.gen.control.QuestionData;
import org.apache.thrift.TException;

/**
 * Converts the messages between {@code ConfigurationFollower} and {@code ConfigurationPublisher}.
 * The sender is not part of a body; the transport names it.
 */
public final class CurrencyCodec {

    /** A decoded message by who has to take it. */
    public sealed interface Received {

        /**
         * Goes to the publisher.
         *
         * @param input the input
         */
        record ForPublisher(PublisherInput input) implements Received {}

        /**
         * Goes to the follower.
         *
         * @param input the input
         */
        record ForFollower(FollowerInput input) implements Received {}
    }

    private CurrencyCodec() {}

    /** Returns the body of a question to a control replica. */
    public static byte[] encode(FollowerEffect.AskControl e) {
        return ThriftCodec.encode(
                CurrencyMessageData.controlQuestion(new QuestionData(e.nonce(), e.version())));
    }

    /** Returns the body of a question to another host. */
    public static byte[] encode(FollowerEffect.AskPeer e) {
        return ThriftCodec.encode(
                CurrencyMessageData.peerQuestion(new QuestionData(e.nonce(), e.version())));
    }

    /** Returns the body of an answer to another host. */
    public static byte[] encode(FollowerEffect.AnswerPeer e) {
        PeerAnswerData d = new PeerAnswerData(e.nonce(), e.counted(), e.version());
        d.setConfiguration(orNull(e.configuration()));
        return ThriftCodec.encode(CurrencyMessageData.peerAnswer(d));
    }

    /** Returns the body of an answer of the leader. */
    public static byte[] encode(PublisherEffect.Answer e) {
        LeaderAnswerData d = new LeaderAnswerData(e.nonce(), e.version());
        d.setConfiguration(orNull(e.configuration()));
        return ThriftCodec.encode(CurrencyMessageData.leaderAnswer(d));
    }

    /** Returns the body of a configuration that the leader sends unasked. */
    public static byte[] encode(PublisherEffect.Push e) {
        return ThriftCodec.encode(
                CurrencyMessageData.push(ConfigurationValues.toData(e.configuration())));
    }

    /**
     * Reads a body.
     *
     * @param from the sender
     * @param body the bytes
     * @throws IllegalArgumentException when the bytes are no such message
     */
    public static Received decode(HostId from, byte[] body) {
        CurrencyMessageData data;
        try {
            data = ThriftCodec.decode(body, new CurrencyMessageData());
        } catch (TException e) {
            throw new IllegalArgumentException("not a message about the configuration", e);
        }
        if (!data.isSet()) {
            throw new IllegalArgumentException("empty message about the configuration");
        }
        return switch (data.getSetField()) {
            case CONTROL_QUESTION -> {
                QuestionData d = data.getControlQuestion();
                yield new Received.ForPublisher(
                        new PublisherInput.Question(from, d.getNonce(), d.getVersion()));
            }
            case LEADER_ANSWER -> {
                LeaderAnswerData d = data.getLeaderAnswer();
                yield new Received.ForFollower(
                        new FollowerInput.LeaderAnswer(
                                from, d.getNonce(), d.getVersion(), orNull(d.getConfiguration())));
            }
            case PUSH ->
                    new Received.ForFollower(
                            new FollowerInput.Pushed(
                                    from, ConfigurationValues.fromData(data.getPush())));
            case PEER_QUESTION -> {
                QuestionData d = data.getPeerQuestion();
                yield new Received.ForFollower(
                        new FollowerInput.PeerQuestion(from, d.getNonce(), d.getVersion()));
            }
            case PEER_ANSWER -> {
                PeerAnswerData d = data.getPeerAnswer();
                yield new Received.ForFollower(
                        new FollowerInput.PeerAnswer(
                                from,
                                d.getNonce(),
                                d.isCounted(),
                                d.getVersion(),
                                orNull(d.getConfiguration())));
            }
        };
    }

    private static ConfigurationData orNull(Configuration c) {
        return c == null ? null : ConfigurationValues.toData(c);
    }

    private static Configuration orNull(ConfigurationData d) {
        return d == null ? null : ConfigurationValues.fromData(d);
    }
}
