package io.siskintrail.wire;

import static io.siskintrail.wire.ConsensusValues.buffer;

import io.siskintrail.internal.consensus.ConsensusMessage;
import io.siskintrail.internal.consensus.ConsensusMessage.AppendReply;
import io.siskintrail.internal.consensus.ConsensusMessage.AppendRequest;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotChunk;
import io.siskintrail.internal.consensus.ConsensusMessage.SnapshotReply;
import io.siskintrail.internal.consensus.ConsensusMessage.TimeoutNow;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteReply;
import io.siskintrail.internal.consensus.ConsensusMessage.VoteRequest;
import io.siskintrail.internal.consensus.HardState;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.ReplicaId;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.wire.gen.consensus.AppendReplyData;
import io.siskintrail.wire.gen.consensus.AppendRequestData;
import io.siskintrail.wire.gen.consensus.ConsensusBody;
import io.siskintrail.wire.gen.consensus.ConsensusData;
import io.siskintrail.wire.gen.consensus.EntryData;
import io.siskintrail.wire.gen.consensus.HardStateData;
import io.siskintrail.wire.gen.consensus.SnapshotChunkData;
import io.siskintrail.wire.gen.consensus.SnapshotData;
import io.siskintrail.wire.gen.consensus.SnapshotReplyData;
import io.siskintrail.wire.gen.consensus.SpareOfferData;
import io.siskintrail.wire.gen.consensus.TimeoutNowData;
import io.siskintrail.wire.gen.consensus.VoteReplyData;
import io.siskintrail.wire.gen.consensus.VoteRequestData;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;

/** Converts the messages of replicas and what they store to bytes and back. */
public final class ConsensusCodec {

    private ConsensusCodec() {}

    /** What one replica received from another. */
    public sealed interface Received {

        /**
         * A message of the replicated log.
         *
         * @param sender the replica that sent it
         * @param receiver the replica it is meant for
         * @param message the message
         */
        record Message(ReplicaId sender, ReplicaId receiver, ConsensusMessage message)
                implements Received {}

        /**
         * A replica without a leader offers its disk.
         *
         * @param sender the replica
         * @param domain its failure domain
         * @param forming whether it knows of no log and waits to begin one
         */
        record Offer(ReplicaId sender, FailureDomain domain, boolean forming) implements Received {}
    }

    /** Returns the bytes of a message. */
    public static byte[] encode(ReplicaId sender, ReplicaId receiver, ConsensusMessage message) {
        ConsensusData data = new ConsensusData(ConsensusValues.data(sender), body(message));
        data.setReceiver(ConsensusValues.data(receiver));
        return ThriftCodec.encode(data);
    }

    /** Returns the bytes of an offer. */
    public static byte[] encodeOffer(ReplicaId sender, FailureDomain domain, boolean forming) {
        SpareOfferData offer = new SpareOfferData(domain.value(), forming);
        return ThriftCodec.encode(
                new ConsensusData(ConsensusValues.data(sender), ConsensusBody.spareOffer(offer)));
    }

    /**
     * Returns what is in {@code bytes}.
     *
     * @throws IllegalArgumentException when it is no such message
     */
    public static Received decode(byte[] bytes) {
        ConsensusData data = read(bytes, new ConsensusData());
        ReplicaId sender = ConsensusValues.value(data.getSender());
        ConsensusBody body = data.getBody();
        if (body.isSetSpareOffer()) {
            SpareOfferData offer = body.getSpareOffer();
            return new Received.Offer(
                    sender, new FailureDomain(offer.getDomain()), offer.isForming());
        }
        return new Received.Message(
                sender, ConsensusValues.value(data.getReceiver()), message(body));
    }

    /** Returns the bytes of an entry. */
    public static byte[] encode(LogEntry entry) {
        return ThriftCodec.encode(ConsensusValues.data(entry));
    }

    /** Returns the entry in {@code bytes}. */
    public static LogEntry decodeEntry(byte[] bytes) {
        return ConsensusValues.value(read(bytes, new EntryData()));
    }

    /** Returns the bytes of a term and vote. */
    public static byte[] encode(HardState state) {
        return ThriftCodec.encode(ConsensusValues.data(state));
    }

    /** Returns the term and vote in {@code bytes}. */
    public static HardState decodeHardState(byte[] bytes) {
        return ConsensusValues.value(read(bytes, new HardStateData()));
    }

    /** Returns the bytes of a snapshot. */
    public static byte[] encode(Snapshot snapshot) {
        return ThriftCodec.encode(ConsensusValues.data(snapshot));
    }

    /** Returns the snapshot in {@code bytes}. */
    public static Snapshot decodeSnapshot(byte[] bytes) {
        return ConsensusValues.value(read(bytes, new SnapshotData()));
    }

    /** Returns the Thrift form of an entry. */
    public static EntryData data(LogEntry entry) {
        return ConsensusValues.data(entry);
    }

    /** Returns the entry that {@code data} stands for. */
    public static LogEntry value(EntryData data) {
        return ConsensusValues.value(data);
    }

    static <T extends TBase<?, ?>> T read(byte[] bytes, T empty) {
        try {
            return ThriftCodec.decode(bytes, empty);
        } catch (TException e) {
            throw new IllegalArgumentException(
                    "bytes are no " + empty.getClass().getSimpleName(), e);
        }
    }

    private static ConsensusBody body(ConsensusMessage message) {
        if (message instanceof VoteRequest m) {
            return ConsensusBody.voteRequest(
                    new VoteRequestData(
                            m.term(), m.preVote(), ConsensusValues.data(m.last()), m.transfer()));
        }
        if (message instanceof VoteReply m) {
            return ConsensusBody.voteReply(new VoteReplyData(m.term(), m.preVote(), m.granted()));
        }
        if (message instanceof AppendRequest m) {
            return ConsensusBody.appendRequest(request(m));
        }
        if (message instanceof AppendReply m) {
            return ConsensusBody.appendReply(
                    new AppendReplyData(m.term(), m.success(), m.index(), m.hint(), m.sentAt()));
        }
        if (message instanceof SnapshotChunk m) {
            return ConsensusBody.snapshotChunk(
                    new SnapshotChunkData(
                            m.term(),
                            ConsensusValues.data(m.snapshot()),
                            m.totalBytes(),
                            m.offset(),
                            buffer(m.data()),
                            m.sentAt()));
        }
        if (message instanceof SnapshotReply m) {
            return ConsensusBody.snapshotReply(
                    new SnapshotReplyData(
                            m.term(),
                            ConsensusValues.data(m.position()),
                            m.nextOffset(),
                            m.installed(),
                            m.sentAt()));
        }
        return ConsensusBody.timeoutNow(new TimeoutNowData(message.term()));
    }

    private static AppendRequestData request(AppendRequest m) {
        List<EntryData> entries = new ArrayList<>(m.entries().size());
        m.entries().forEach(e -> entries.add(ConsensusValues.data(e)));
        return new AppendRequestData(
                m.term(), ConsensusValues.data(m.previous()), entries, m.commit(), m.sentAt());
    }

    private static ConsensusMessage message(ConsensusBody body) {
        return switch (body.getSetField()) {
            case VOTE_REQUEST -> value(body.getVoteRequest());
            case VOTE_REPLY -> {
                VoteReplyData d = body.getVoteReply();
                yield new VoteReply(d.getTerm(), d.isPreVote(), d.isGranted());
            }
            case APPEND_REQUEST -> value(body.getAppendRequest());
            case APPEND_REPLY -> value(body.getAppendReply());
            case SNAPSHOT_CHUNK -> value(body.getSnapshotChunk());
            case SNAPSHOT_REPLY -> value(body.getSnapshotReply());
            case TIMEOUT_NOW -> new TimeoutNow(body.getTimeoutNow().getTerm());
            default -> throw new IllegalArgumentException("message is of an unknown kind");
        };
    }

    private static VoteRequest value(VoteRequestData d) {
        return new VoteRequest(
                d.getTerm(), d.isPreVote(), ConsensusValues.value(d.getLast()), d.isTransfer());
    }

    private static AppendRequest value(AppendRequestData d) {
        List<LogEntry> entries = new ArrayList<>(d.getEntriesSize());
        d.getEntries().forEach(e -> entries.add(ConsensusValues.value(e)));
        return new AppendRequest(
                d.getTerm(),
                ConsensusValues.value(d.getPrevious()),
                entries,
                d.getCommit(),
                d.getSentAt());
    }

    private static AppendReply value(AppendReplyData d) {
        return new AppendReply(
                d.getTerm(), d.isSuccess(), d.getIndex(), d.getHint(), d.getSentAt());
    }

    private static SnapshotChunk value(SnapshotChunkData d) {
        return new SnapshotChunk(
                d.getTerm(),
                ConsensusValues.value(d.getSnapshot()),
                d.getTotalBytes(),
                d.getOffset(),
                Payload.wrap(d.getData()),
                d.getSentAt());
    }

    private static SnapshotReply value(SnapshotReplyData d) {
        return new SnapshotReply(
                d.getTerm(),
                ConsensusValues.value(d.getPosition()),
                d.getNextOffset(),
                d.isInstalled(),
                d.getSentAt());
    }
}
