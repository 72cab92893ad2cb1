package io.siskintrail.wire;

import io.siskintrail.internal.generation.BuddyMessage;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.RequestRef;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.wire.gen.buddy.TBuddyKind;
import io.siskintrail.wire.gen.buddy.TBuddyMessage;
import java.util.HashSet;
import java.util.Set;
import org.apache.thrift.TException;

/** Converts the messages between generation stripes. */
public final class BuddyCodec {

    private BuddyCodec() {}

    /** Returns the compact form of {@code message}, sent by the process {@code incarnation}. */
    public static byte[] encode(long incarnation, BuddyMessage message) {
        return ThriftCodec.encode(BuddyWriter.write(incarnation, message));
    }

    /**
     * Reads a message.
     *
     * @throws IllegalArgumentException when the bytes are not a buddy message
     */
    public static BuddyPacket decode(byte[] body) {
        try {
            TBuddyMessage t = ThriftCodec.decode(body, new TBuddyMessage());
            return new BuddyPacket(t.getIncarnation(), read(t));
        } catch (TException | NullPointerException e) {
            throw new IllegalArgumentException("not a buddy message", e);
        }
    }

    private static BuddyMessage read(TBuddyMessage t) {
        TBuddyKind kind = t.getKind();
        if (kind == TBuddyKind.PROBE) {
            return new BuddyMessage.Probe(t.getStripe());
        }
        if (kind == TBuddyKind.PROBE_ACK) {
            return new BuddyMessage.ProbeAck(t.getStripe());
        }
        if (kind == TBuddyKind.DEATH_REPORT) {
            return new BuddyMessage.DeathReport(
                    BuddyValues.endpoint(t.getEndpoint()), fingerprints(t));
        }
        if (kind == TBuddyKind.QUARANTINE_NOTICE) {
            return new BuddyMessage.QuarantineNotice(fingerprint(t), t.getMillis());
        }
        RequestRef ref = new RequestRef(new AccountId(t.getAccount()), new RequestKey(t.getKey()));
        GenerationId id = BuddyValues.generation(t.getGeneration());
        return switch (kind) {
            case OPEN -> open(t, ref);
            case COPY, RELAY -> tokens(t, ref, id);
            case ACK ->
                    new BuddyMessage.Ack(
                            ref, id, BuddyValues.read(t.getEpoch()), t.getOffset(), t.isEnded());
            case CONFLICT ->
                    new BuddyMessage.Conflict(
                            ref,
                            id,
                            BuddyValues.generation(t.getRunning()),
                            BuddyValues.read(t.getEpoch()),
                            fingerprint(t));
            case LOCATE -> new BuddyMessage.Locate(ref);
            case LOCATED ->
                    new BuddyMessage.Located(
                            ref, id, BuddyValues.read(t.getEpoch()), fingerprint(t));
            case SUBSCRIBE ->
                    new BuddyMessage.Subscribe(
                            ref, id, t.getCaller(), BuddyValues.read(t.getEpoch()), t.getOffset());
            case DIVERGED -> new BuddyMessage.Diverged(ref, id, t.getCaller());
            case UNSUBSCRIBE -> new BuddyMessage.Unsubscribe(ref, id, t.getCaller());
            default -> ownership(t, ref, id);
        };
    }

    private static BuddyMessage ownership(TBuddyMessage t, RequestRef ref, GenerationId id) {
        var epoch = BuddyValues.read(t.getEpoch());
        return switch (t.getKind()) {
            case NOT_HELD -> new BuddyMessage.NotHeld(ref, id, epoch);
            case OWNED -> new BuddyMessage.Owned(ref, id, epoch);
            case RELEASE -> new BuddyMessage.Release(ref, id, epoch);
            case HANDOVER -> new BuddyMessage.Handover(ref, id, epoch);
            default -> throw new IllegalArgumentException("kind " + t.getKind());
        };
    }

    private static BuddyMessage open(TBuddyMessage t, RequestRef ref) {
        return new BuddyMessage.Open(
                BuddyValues.read(t.getSpec(), ref, fingerprint(t)),
                BuddyValues.read(t.getLineage()),
                BuddyValues.read(t.getRun()),
                BuddyValues.read(t.getOutcome()),
                t.getAttempt(),
                BuddyValues.endpoint(t.getEndpoint()),
                t.getFailures());
    }

    private static BuddyMessage tokens(TBuddyMessage t, RequestRef ref, GenerationId id) {
        if (t.getKind() == TBuddyKind.COPY) {
            return new BuddyMessage.Copy(
                    ref,
                    id,
                    BuddyValues.read(t.getEpoch()),
                    t.getOffset(),
                    BuddyValues.read(t.getRun()),
                    BuddyValues.read(t.getOutcome()),
                    t.getAttempt(),
                    BuddyValues.endpoint(t.getEndpoint()));
        }
        return new BuddyMessage.Relay(
                ref,
                id,
                BuddyValues.read(t.getEpoch()),
                t.getCaller(),
                BuddyValues.read(t.getBasisEpoch()),
                t.getBasisOffset(),
                t.getOffset(),
                BuddyValues.read(t.getRun()),
                BuddyValues.read(t.getOutcome()));
    }

    private static Set<Fingerprint> fingerprints(TBuddyMessage t) {
        Set<Fingerprint> found = new HashSet<>();
        for (int i = 0; i + 1 < t.getFingerprintsSize(); i += 2) {
            found.add(new Fingerprint(t.getFingerprints().get(i), t.getFingerprints().get(i + 1)));
        }
        return found;
    }

    private static Fingerprint fingerprint(TBuddyMessage t) {
        return t.isSetFingerprintHigh()
                ? new Fingerprint(t.getFingerprintHigh(), t.getFingerprintLow())
                : null;
    }
}
