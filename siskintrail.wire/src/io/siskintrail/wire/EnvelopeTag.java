package io.siskintrail.wire;

import io.siskintrail.wire.gen.Envelope;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Authenticates envelopes with HMAC-SHA-256 over sender, kind and body. */
final class EnvelopeTag {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;
    private final ThreadLocal<Mac> macs = ThreadLocal.withInitial(this::newMac);

    EnvelopeTag(String sharedKey) {
        key = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    byte[] compute(String sender, short kind, byte[] body) {
        Mac mac = macs.get();
        mac.update(sender.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
        mac.update(ByteBuffer.allocate(Short.BYTES).putShort(kind).array());
        return mac.doFinal(body);
    }

    boolean verifies(Envelope e) {
        return MessageDigest.isEqual(compute(e.getSender(), e.getKind(), e.getBody()), e.getTag());
    }

    private Mac newMac() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from this JDK", e);
        }
    }
}
