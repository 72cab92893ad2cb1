package io.siskintrail.wire;

import io.siskintrail.lib.HostId;
import io.siskintrail.wire.gen.Envelope;
import io.siskintrail.wire.gen.Peer;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.THsHaServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * A {@link PeerTransport} over TCP with libthrift: one connection and one sending thread for each
 * peer, one selector thread and a small pool for what arrives. Envelopes whose tag does not verify
 * are dropped.
 */
public final class ThriftPeerTransport implements PeerTransport, AutoCloseable {
    private static final int MAX_FRAME_BYTES = 16 << 20;
    private static final int WORKERS = 1;
    private static final long STOP_MILLIS = 5_000;

    private final HostId self;
    private final InetSocketAddress listen;
    private final EnvelopeTag tag;
    private final Map<MessageKind, PeerHandler> handlers = new EnumMap<>(MessageKind.class);
    private final Map<HostId, PeerSender> senders = new ConcurrentHashMap<>();
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder messagesSent = new LongAdder();
    private final LongAdder messagesDropped = new LongAdder();
    private THsHaServer server;
    private Thread serverThread;

    /**
     * Prepares a transport that listens on {@code listen}.
     *
     * @param self the id that peers see as the sender
     * @param listen the address for peers
     * @param sharedKey the key that all peers of the deployment have
     */
    public ThriftPeerTransport(HostId self, InetSocketAddress listen, String sharedKey) {
        this.self = self;
        this.listen = listen;
        this.tag = new EnvelopeTag(sharedKey);
    }

    /** Adds a peer or changes its address; does nothing when the address is known already. */
    public synchronized void addPeer(HostId peer, InetSocketAddress address) {
        PeerSender known = senders.get(peer);
        if (known != null && known.address().equals(address)) {
            return;
        }
        PeerSender sender = new PeerSender(peer.value(), address);
        PeerSender old = senders.put(peer, sender);
        if (old != null) {
            old.stop();
        }
        sender.start();
    }

    @Override
    public void handle(MessageKind kind, PeerHandler handler) {
        handlers.put(kind, handler);
    }

    /** Starts to listen. */
    public void start() {
        try {
            TNonblockingServerSocket socket = new TNonblockingServerSocket(listen);
            THsHaServer.Args args =
                    new THsHaServer.Args(socket)
                            .processor(new Peer.Processor<>((Peer.Iface) this::receive))
                            .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                            .protocolFactory(new TCompactProtocol.Factory())
                            .minWorkerThreads(WORKERS)
                            .maxWorkerThreads(WORKERS);
            args.maxReadBufferBytes = MAX_FRAME_BYTES;
            server = new THsHaServer(args);
        } catch (TTransportException e) {
            throw new IllegalStateException("cannot listen for peers on " + listen, e);
        }
        serverThread = new Thread(server::serve, "peer-server");
        serverThread.setDaemon(true);
        serverThread.start();
    }

    @Override
    public void send(HostId to, MessageKind kind, byte[] body) {
        PeerSender sender = senders.get(to);
        if (sender == null) {
            messagesDropped.increment();
            return;
        }
        byte[] mark = tag.compute(self.value(), kind.number(), body);
        Envelope envelope =
                new Envelope(
                        self.value(), kind.number(), ByteBuffer.wrap(body), ByteBuffer.wrap(mark));
        if (sender.offer(envelope)) {
            messagesSent.increment();
            bytesSent.add(body.length + mark.length);
        } else {
            messagesDropped.increment();
        }
    }

    /** Returns the bytes queued for sending since the start, without framing. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the messages queued for sending since the start. */
    public long messagesSent() {
        return messagesSent.sum();
    }

    /** Returns the messages dropped before sending since the start. */
    public long messagesDropped() {
        return messagesDropped.sum();
    }

    @Override
    public void close() {
        senders.values().forEach(PeerSender::stop);
        if (server != null) {
            server.stop();
            awaitServer();
        }
    }

    /** Waits until the listening socket is closed, so that the address can be bound again. */
    private void awaitServer() {
        try {
            serverThread.join(STOP_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void receive(List<Envelope> envelopes) {
        for (Envelope e : envelopes) {
            MessageKind kind = MessageKind.of(e.getKind());
            PeerHandler handler = kind == null ? null : handlers.get(kind);
            if (handler != null && tag.verifies(e)) {
                handler.receive(new HostId(e.getSender()), e.getBody());
            }
        }
    }
}
