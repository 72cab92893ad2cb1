package io.siskintrail.wire;

import io.siskintrail.internal.generation.BuddyMessage;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.OwnerEpoch;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.wire.gen.buddy.TBuddyKind;
import io.siskintrail.wire.gen.buddy.TBuddyMessage;
import java.util.ArrayList;
import java.util.List;

/** Writes buddy messages into their Thrift form. */
final class BuddyWriter {

    private BuddyWriter() {}

    static TBuddyMessage write(long incarnation, BuddyMessage message) {
        TBuddyMessage t = new TBuddyMessage();
        t.setIncarnation(incarnation);
        if (message instanceof BuddyMessage.OfStripe m) {
            boolean probe = m instanceof BuddyMessage.Probe;
            t.setKind(probe ? TBuddyKind.PROBE : TBuddyKind.PROBE_ACK);
            t.setStripe(m.stripe());
            return t;
        }
        if (message instanceof BuddyMessage.OfRouter m) {
            router(t, m);
            return t;
        }
        BuddyMessage.OfRequest request = (BuddyMessage.OfRequest) message;
        t.setAccount(request.ref().account().value());
        t.setKey(request.ref().key().value());
        if (message instanceof BuddyMessage.Copy m) {
            copy(t, m);
        } else if (message instanceof BuddyMessage.Ack m) {
            about(t, TBuddyKind.ACK, m.generation(), m.epoch());
            t.setOffset(m.length());
            t.setEnded(m.ended());
        } else if (message instanceof BuddyMessage.Open m) {
            open(t, m);
        } else if (message instanceof BuddyMessage.Relay m) {
            relay(t, m);
        } else {
            rare(t, message);
        }
        return t;
    }

    private static void router(TBuddyMessage t, BuddyMessage.OfRouter message) {
        if (message instanceof BuddyMessage.DeathReport m) {
            t.setKind(TBuddyKind.DEATH_REPORT);
            t.setEndpoint(m.endpoint().value());
            List<Long> halves = new ArrayList<>();
            for (Fingerprint f : m.running()) {
                halves.add(f.high());
                halves.add(f.low());
            }
            t.setFingerprints(halves);
        } else if (message instanceof BuddyMessage.QuarantineNotice m) {
            t.setKind(TBuddyKind.QUARANTINE_NOTICE);
            fingerprint(t, m.fingerprint());
            t.setMillis(m.millis());
        }
    }

    private static void rare(TBuddyMessage t, BuddyMessage message) {
        if (message instanceof BuddyMessage.NotHeld m) {
            about(t, TBuddyKind.NOT_HELD, m.generation(), m.epoch());
        } else if (message instanceof BuddyMessage.Owned m) {
            about(t, TBuddyKind.OWNED, m.generation(), m.epoch());
        } else if (message instanceof BuddyMessage.Conflict m) {
            about(t, TBuddyKind.CONFLICT, m.refused(), m.epoch());
            t.setRunning(m.running().value());
            fingerprint(t, m.fingerprint());
        } else if (message instanceof BuddyMessage.Release m) {
            about(t, TBuddyKind.RELEASE, m.generation(), m.epoch());
        } else if (message instanceof BuddyMessage.Handover m) {
            about(t, TBuddyKind.HANDOVER, m.generation(), m.epoch());
        } else if (message instanceof BuddyMessage.Locate) {
            t.setKind(TBuddyKind.LOCATE);
        } else if (message instanceof BuddyMessage.Located m) {
            about(t, TBuddyKind.LOCATED, m.generation(), m.epoch());
            fingerprint(t, m.fingerprint());
        } else if (message instanceof BuddyMessage.Subscribe m) {
            about(t, TBuddyKind.SUBSCRIBE, m.generation(), m.epoch());
            t.setCaller(m.caller());
            t.setOffset(m.offset());
        } else if (message instanceof BuddyMessage.Diverged m) {
            about(t, TBuddyKind.DIVERGED, m.generation(), null);
            t.setCaller(m.caller());
        } else if (message instanceof BuddyMessage.Unsubscribe m) {
            about(t, TBuddyKind.UNSUBSCRIBE, m.generation(), null);
            t.setCaller(m.caller());
        } else {
            throw new IllegalArgumentException("unknown message " + message.getClass());
        }
    }

    private static void open(TBuddyMessage t, BuddyMessage.Open m) {
        t.setKind(TBuddyKind.OPEN);
        t.setSpec(BuddyValues.write(m.spec()));
        fingerprint(t, m.spec().fingerprint());
        t.setLineage(BuddyValues.write(m.lineage()));
        t.setRun(BuddyValues.write(m.run()));
        t.setOutcome(BuddyValues.write(m.outcome()));
        t.setAttempt(m.attempt());
        t.setFailures(m.failures());
        t.setEndpoint(m.endpoint() == null ? null : m.endpoint().value());
    }

    private static void copy(TBuddyMessage t, BuddyMessage.Copy m) {
        about(t, TBuddyKind.COPY, m.generation(), m.epoch());
        t.setOffset(m.from());
        t.setRun(BuddyValues.write(m.run()));
        t.setOutcome(BuddyValues.write(m.outcome()));
        t.setAttempt(m.attempt());
        t.setEndpoint(m.endpoint() == null ? null : m.endpoint().value());
    }

    private static void relay(TBuddyMessage t, BuddyMessage.Relay m) {
        about(t, TBuddyKind.RELAY, m.generation(), m.epoch());
        t.setCaller(m.caller());
        t.setBasisEpoch(BuddyValues.write(m.basisEpoch()));
        t.setBasisOffset(m.basisOffset());
        t.setOffset(m.from());
        t.setRun(BuddyValues.write(m.run()));
        t.setOutcome(BuddyValues.write(m.outcome()));
    }

    private static void about(
            TBuddyMessage t, TBuddyKind kind, GenerationId generation, OwnerEpoch epoch) {
        t.setKind(kind);
        t.setGeneration(generation == null ? null : generation.value());
        t.setEpoch(BuddyValues.write(epoch));
    }

    private static void fingerprint(TBuddyMessage t, Fingerprint fingerprint) {
        if (fingerprint != null) {
            t.setFingerprintHigh(fingerprint.high());
            t.setFingerprintLow(fingerprint.low());
        }
    }
}
