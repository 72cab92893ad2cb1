package io.siskintrail.bench.rules;

import io.siskintrail.lib.HostId;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerHandler;
import io.siskintrail.wire.PeerTransport;

/** Drops all messages from and to a process while it is cut off. */
final class CuttableTransport implements PeerTransport {
    private final PeerTransport inner;
    private volatile boolean cut;

    CuttableTransport(PeerTransport inner, boolean cut) {
        this.inner = inner;
        this.cut = cut;
    }

    void setCut(boolean value) {
        cut = value;
    }

    @Override
    public void send(HostId to, MessageKind kind, byte[] body) {
        if (!cut) {
            inner.send(to, kind, body);
        }
    }

    @Override
    public void handle(MessageKind kind, PeerHandler handler) {
        inner.handle(
                kind,
                (sender, body) -> {
                    if (!cut) {
                        handler.receive(sender, body);
                    }
                });
    }
}
