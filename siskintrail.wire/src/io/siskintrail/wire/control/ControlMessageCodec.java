package io.siskintrail.wire.control;

import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.session.NumberedCommand;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.ConsensusCodec;
import io.siskintrail.wire.ThriftCodec;
import io.siskintrail.wire.gen.consensus.ClientBody;
import io.siskintrail.wire.gen.consensus.ClientData;
import io.siskintrail.wire.gen.consensus.EntryData;
import io.siskintrail.wire.gen.consensus.FollowData;
import io.siskintrail.wire.gen.consensus.FollowReplyData;
import io.siskintrail.wire.gen.consensus.ImageChunkData;
import io.siskintrail.wire.gen.consensus.NotLeaderData;
import io.siskintrail.wire.gen.consensus.NumberedCommandData;
import io.siskintrail.wire.gen.consensus.PositionData;
import io.siskintrail.wire.gen.consensus.ProposalOutcome;
import io.siskintrail.wire.gen.consensus.ProposalReplyData;
import io.siskintrail.wire.gen.consensus.ProposeData;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TException;

/** Converts the messages between hosts and replicas to bytes and back. */
public final class ControlMessageCodec {

    private ControlMessageCodec() {}

    /** Returns the bytes of {@code message}. */
    public static byte[] encode(ControlMessage message) {
        return ThriftCodec.encode(new ClientData(body(message)));
    }

    /**
     * Returns the message in {@code bytes}.
     *
     * @throws IllegalArgumentException when it is no such message
     */
    public static ControlMessage decode(byte[] bytes) {
        try {
            return message(ThriftCodec.decode(bytes, new ClientData()).getBody());
        } catch (TException e) {
            throw new IllegalArgumentException("bytes are no message to or from control", e);
        }
    }

    /** Returns the bytes of a numbered command, as an entry of the log holds it. */
    public static byte[] encode(NumberedCommand command) {
        return ThriftCodec.encode(data(command));
    }

    /**
     * Returns the numbered command in {@code bytes}.
     *
     * @throws IllegalArgumentException when it is none
     */
    public static NumberedCommand decodeCommand(byte[] bytes) {
        try {
            return command(ThriftCodec.decode(bytes, new NumberedCommandData()));
        } catch (TException e) {
            throw new IllegalArgumentException("bytes are no numbered command", e);
        }
    }

    private static ClientBody body(ControlMessage message) {
        if (message instanceof ControlMessage.Propose m) {
            List<NumberedCommandData> commands = new ArrayList<>(m.commands().size());
            m.commands().forEach(c -> commands.add(data(c)));
            return ClientBody.propose(new ProposeData(commands));
        }
        if (message instanceof ControlMessage.NotLeader m) {
            NotLeaderData data = new NotLeaderData();
            data.setLeader(m.leader() == null ? null : m.leader().value());
            return ClientBody.notLeader(data);
        }
        if (message instanceof ControlMessage.Follow m) {
            return ClientBody.follow(new FollowData(m.after(), m.imageIndex(), m.imageOffset()));
        }
        if (message instanceof ControlMessage.Followed m) {
            return ClientBody.followReply(new FollowReplyData(m.after(), entries(m.entries())));
        }
        if (message instanceof ControlMessage.ImageChunk m) {
            return ClientBody.imageChunk(
                    new ImageChunkData(
                            new PositionData(m.position().term(), m.position().index()),
                            m.totalBytes(),
                            m.offset(),
                            buffer(m.data())));
        }
        return ClientBody.proposalReply(reply(message));
    }

    private static ProposalReplyData reply(ControlMessage message) {
        if (message instanceof ControlMessage.Answered m) {
            ProposalReplyData data =
                    new ProposalReplyData(m.client(), m.number(), ProposalOutcome.ANSWERED);
            data.setAnswer(buffer(m.answer()));
            return data;
        }
        if (message instanceof ControlMessage.Opened m) {
            ProposalReplyData data = new ProposalReplyData(m.nonce(), 0, ProposalOutcome.OPENED);
            data.setAnswer(ByteBuffer.allocate(Long.BYTES).putLong(m.client()).array());
            return data;
        }
        if (message instanceof ControlMessage.TooLarge m) {
            return new ProposalReplyData(m.client(), m.number(), ProposalOutcome.TOO_LARGE);
        }
        ControlMessage.Forgotten m = (ControlMessage.Forgotten) message;
        return new ProposalReplyData(m.client(), m.number(), ProposalOutcome.FORGOTTEN);
    }

    private static ControlMessage message(ClientBody body) {
        return switch (body.getSetField()) {
            case PROPOSE -> {
                List<NumberedCommand> commands = new ArrayList<>();
                body.getPropose().getCommands().forEach(d -> commands.add(command(d)));
                yield new ControlMessage.Propose(commands);
            }
            case PROPOSAL_REPLY -> outcome(body.getProposalReply());
            case NOT_LEADER -> {
                String leader = body.getNotLeader().getLeader();
                yield new ControlMessage.NotLeader(leader == null ? null : new HostId(leader));
            }
            case FOLLOW -> {
                FollowData d = body.getFollow();
                yield new ControlMessage.Follow(
                        d.getAfter(), d.getImageIndex(), d.getImageOffset());
            }
            case FOLLOW_REPLY -> {
                FollowReplyData d = body.getFollowReply();
                List<LogEntry> entries = new ArrayList<>(d.getEntriesSize());
                d.getEntries().forEach(e -> entries.add(ConsensusCodec.value(e)));
                yield new ControlMessage.Followed(d.getAfter(), entries);
            }
            case IMAGE_CHUNK -> chunk(body.getImageChunk());
            default -> throw new IllegalArgumentException("message is of an unknown kind");
        };
    }

    private static ControlMessage outcome(ProposalReplyData d) {
        return switch (d.getOutcome()) {
            case ANSWERED ->
                    new ControlMessage.Answered(
                            d.getClient(), d.getNumber(), Payload.wrap(d.getAnswer()));
            case OPENED ->
                    new ControlMessage.Opened(
                            d.getClient(), ByteBuffer.wrap(d.getAnswer()).getLong());
            case TOO_LARGE -> new ControlMessage.TooLarge(d.getClient(), d.getNumber());
            case FORGOTTEN -> new ControlMessage.Forgotten(d.getClient(), d.getNumber());
            default -> throw new IllegalArgumentException("outcome is of an unknown kind");
        };
    }

    private static ControlMessage chunk(ImageChunkData d) {
        return new ControlMessage.ImageChunk(
                new LogPosition(d.getPosition().getTerm(), d.getPosition().getIndex()),
                d.getTotalBytes(),
                d.getOffset(),
                Payload.wrap(d.getData()));
    }

    private static List<EntryData> entries(List<LogEntry> entries) {
        List<EntryData> all = new ArrayList<>(entries.size());
        entries.forEach(e -> all.add(ConsensusCodec.data(e)));
        return all;
    }

    private static NumberedCommandData data(NumberedCommand c) {
        return new NumberedCommandData(c.client(), c.number(), c.floor(), buffer(c.command()));
    }

    private static NumberedCommand command(NumberedCommandData d) {
        return new NumberedCommand(
                d.getClient(), d.getNumber(), d.getFloor(), Payload.wrap(d.getCommand()));
    }

    private static ByteBuffer buffer(Payload payload) {
        return ByteBuffer.wrap(payload.array());
    }
}
