package io.siskintrail.wire;

import io.siskintrail.internal.membership.MembershipMessage;
import io.siskintrail.internal.membership.Renewal;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.gen.membership.AckData;
import io.siskintrail.wire.gen.membership.BucketsData;
import io.siskintrail.wire.gen.membership.DigestData;
import io.siskintrail.wire.gen.membership.MembershipMessageData;
import io.siskintrail.wire.gen.membership.PingData;
import io.siskintrail.wire.gen.membership.PingRequestData;
import io.siskintrail.wire.gen.membership.PullData;
import io.siskintrail.wire.gen.membership.RenewalData;
import io.siskintrail.wire.gen.membership.RenewalsData;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TException;

/** Converts the messages of the membership to Thrift and back. */
public final class MembershipCodec {

    private MembershipCodec() {}

    /** Returns the bytes of {@code message}. */
    public static byte[] encode(MembershipMessage message) {
        return ThriftCodec.encode(toData(message));
    }

    /**
     * Returns the message in {@code bytes}.
     *
     * @throws IllegalArgumentException when they hold none
     */
    public static MembershipMessage decode(byte[] bytes) {
        try {
            return fromData(ThriftCodec.decode(bytes, new MembershipMessageData()));
        } catch (TException e) {
            throw new IllegalArgumentException("not a message of the membership", e);
        }
    }

    private static MembershipMessageData toData(MembershipMessage message) {
        if (message instanceof MembershipMessage.Ping m) {
            return MembershipMessageData.ping(
                    new PingData(m.number(), MembershipEntries.toData(m.entries())));
        }
        if (message instanceof MembershipMessage.Ack m) {
            return MembershipMessageData.ack(
                    new AckData(m.number(), MembershipEntries.toData(m.entries())));
        }
        if (message instanceof MembershipMessage.PingRequest m) {
            return MembershipMessageData.pingRequest(
                    new PingRequestData(m.number(), m.target().value()));
        }
        if (message instanceof MembershipMessage.Gossip m) {
            return MembershipMessageData.gossip(MembershipEntries.toData(m.entries()));
        }
        if (message instanceof MembershipMessage.Pull m) {
            return MembershipMessageData.pull(new PullData(m.number()));
        }
        if (message instanceof MembershipMessage.Renewals m) {
            return MembershipMessageData.renewals(toData(m));
        }
        if (message instanceof MembershipMessage.Digest m) {
            return MembershipMessageData.digest(toData(m));
        }
        MembershipMessage.Buckets m = (MembershipMessage.Buckets) message;
        return MembershipMessageData.buckets(
                new BucketsData(m.buckets(), MembershipEntries.toData(m.entries()), m.answer()));
    }

    private static RenewalsData toData(MembershipMessage.Renewals m) {
        List<RenewalData> list = new ArrayList<>();
        for (Renewal r : m.renewals()) {
            list.add(new RenewalData(r.endpoint().value(), r.incarnation(), r.ageMillis()));
        }
        return new RenewalsData(m.number(), list);
    }

    private static DigestData toData(MembershipMessage.Digest m) {
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES * m.buckets().size());
        m.buckets().forEach(bytes::putLong);
        return new DigestData(bytes.flip());
    }

    private static MembershipMessage fromData(MembershipMessageData data) throws TException {
        if (data.getSetField() == null) {
            throw new TException("the message has no known field");
        }
        return switch (data.getSetField()) {
            case PING ->
                    new MembershipMessage.Ping(
                            data.getPing().getNumber(),
                            MembershipEntries.fromData(data.getPing().getEntries()));
            case ACK ->
                    new MembershipMessage.Ack(
                            data.getAck().getNumber(),
                            MembershipEntries.fromData(data.getAck().getEntries()));
            case PING_REQUEST ->
                    new MembershipMessage.PingRequest(
                            data.getPingRequest().getNumber(),
                            new HostId(data.getPingRequest().getTarget()));
            case GOSSIP ->
                    new MembershipMessage.Gossip(MembershipEntries.fromData(data.getGossip()));
            case PULL -> new MembershipMessage.Pull(data.getPull().getNumber());
            case RENEWALS -> fromData(data.getRenewals());
            case DIGEST -> fromData(data.getDigest());
            case BUCKETS ->
                    new MembershipMessage.Buckets(
                            data.getBuckets().getBuckets(),
                            MembershipEntries.fromData(data.getBuckets().getEntries()),
                            data.getBuckets().isAnswer());
        };
    }

    private static MembershipMessage fromData(RenewalsData d) {
        List<Renewal> list = new ArrayList<>();
        for (RenewalData r : d.getRenewals()) {
            EndpointId id = new EndpointId(r.getEndpoint());
            list.add(new Renewal(id, r.getIncarnation(), r.getAgeMillis()));
        }
        return new MembershipMessage.Renewals(d.getNumber(), list);
    }

    private static MembershipMessage fromData(DigestData d) {
        ByteBuffer bytes = d.bufferForBuckets();
        List<Long> buckets = new ArrayList<>();
        while (bytes.remaining() >= Long.BYTES) {
            buckets.add(bytes.getLong());
        }
        return new MembershipMessage.Digest(buckets);
    }
}
