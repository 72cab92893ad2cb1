package io.siskintrail.wire;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Encodes Thrift structs in compact form. */
public final class ThriftCodec {

    private ThriftCodec() {}

    /** Returns the compact form of {@code struct}. */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw new IllegalStateException("struct cannot be encoded: " + struct.getClass(), e);
        }
    }

    /**
     * Reads {@code body} into {@code empty}.
     *
     * @return {@code empty}, filled
     * @throws TException when the bytes are not such a struct
     */
    public static <T extends TBase<?, ?>> T decode(byte[] body, T empty) throws TException {
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(empty, body);
        return empty;
    }
}
