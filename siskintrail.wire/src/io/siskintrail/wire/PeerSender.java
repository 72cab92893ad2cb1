package io.siskintrail.wire;

import io.siskintrail.wire.gen.Envelope;
import io.siskintrail.wire.gen.Peer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;

/** Owns the connection and the thread that send to one peer. */
final class PeerSender implements Runnable {
    private static final int QUEUE_LENGTH = 8192;
    private static final int MAX_BATCH = 256;
    private static final int CONNECT_MILLIS = 500;
    private static final int SOCKET_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 100;

    private final InetSocketAddress address;
    private final BlockingQueue<Envelope> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
    private final Thread thread;
    private volatile boolean stopped;
    private TFramedTransport connection;
    private Peer.Client client;

    PeerSender(String name, InetSocketAddress address) {
        this.address = address;
        this.thread = new Thread(this, "peer-" + name);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    void stop() {
        stopped = true;
        thread.interrupt();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns false when the queue is full and the message was dropped. */
    boolean offer(Envelope envelope) {
        return queue.offer(envelope);
    }

    @Override
    public void run() {
        List<Envelope> batch = new ArrayList<>(MAX_BATCH);
        while (!stopped) {
            try {
                batch.clear();
                batch.add(queue.take());
                queue.drainTo(batch, MAX_BATCH - 1);
                deliver(batch);
            } catch (InterruptedException e) {
                break;
            }
        }
        disconnect();
    }

    private void deliver(List<Envelope> batch) throws InterruptedException {
        try {
            connect();
            client.deliver(batch);
        } catch (TException e) {
            disconnect();
            Thread.sleep(RETRY_MILLIS);
        }
    }

    private void connect() throws TException {
        if (client != null) {
            return;
        }
        TSocket socket =
                new TSocket(null, address.getHostString(), address.getPort(), SOCKET_MILLIS);
        socket.setConnectTimeout(CONNECT_MILLIS);
        connection = new TFramedTransport(socket);
        connection.open();
        client = new Peer.Client(new TCompactProtocol(connection));
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
        }
        connection = null;
        client = null;
    }
}
