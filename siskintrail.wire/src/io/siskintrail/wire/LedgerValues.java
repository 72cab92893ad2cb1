package io.siskintrail.wire;

import io.siskintrail.internal.ledger.ClaimId;
import io.siskintrail.internal.ledger.ContentDigest;
import io.siskintrail.internal.ledger.OrderKey;
import io.siskintrail.internal.ledger.StoredAnswer;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.wire.gen.ledger.ClaimIdData;
import io.siskintrail.wire.gen.ledger.OrderKeyData;
import io.siskintrail.wire.gen.ledger.StoredAnswerData;
import java.nio.ByteBuffer;
import java.util.HexFormat;

/** Converts the values that the messages of the ledger share. */
final class LedgerValues {

    private LedgerValues() {}

    static OrderKeyData toData(OrderKey key) {
        return new OrderKeyData(key.service().value(), key.account().value(), key.key().value());
    }

    static OrderKey fromData(OrderKeyData d) {
        return new OrderKey(
                new ServiceName(d.getServiceName()),
                new AccountId(d.getAccount()),
                new RequestKey(d.getKey()));
    }

    static ClaimIdData toData(ClaimId claim) {
        return new ClaimIdData(claim.host().value(), claim.boot(), claim.number());
    }

    static ClaimId fromData(ClaimIdData d) {
        return new ClaimId(new HostId(d.getHost()), d.getBoot(), d.getNumber());
    }

    static ByteBuffer toData(ContentDigest digest) {
        return ByteBuffer.wrap(HexFormat.of().parseHex(digest.hex()));
    }

    static ContentDigest digest(byte[] bytes) {
        return new ContentDigest(HexFormat.of().formatHex(bytes));
    }

    static StoredAnswerData toData(StoredAnswer a) {
        return new StoredAnswerData(
                a.status(), a.contentType(), ByteBuffer.wrap(a.body()), a.kept());
    }

    static StoredAnswer fromData(StoredAnswerData d) {
        return new StoredAnswer(d.getStatus(), d.getContentType(), d.getBody(), d.isKept());
    }
}
