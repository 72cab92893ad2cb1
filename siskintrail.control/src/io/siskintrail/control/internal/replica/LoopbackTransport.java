package io.siskintrail.control.internal.replica;

import io.siskintrail.lib.HostId;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerHandler;
import io.siskintrail.wire.PeerTransport;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Hands messages to the own host over without a socket and all others to another transport. */
final class LoopbackTransport implements PeerTransport {
    private final HostId self;
    private final PeerTransport outside;
    private final Map<MessageKind, PeerHandler> handlers = new ConcurrentHashMap<>();

    LoopbackTransport(HostId self, PeerTransport outside) {
        this.self = self;
        this.outside = outside;
    }

    @Override
    public void send(HostId to, MessageKind kind, byte[] body) {
        if (!to.equals(self)) {
            outside.send(to, kind, body);
            return;
        }
        PeerHandler handler = handlers.get(kind);
        if (handler != null) {
            handler.receive(self, body);
        }
    }

    @Override
    public void handle(MessageKind kind, PeerHandler handler) {
        handlers.put(kind, handler);
        outside.handle(kind, handler);
    }
}
