package io.siskintrail.bench.orders;

import io.siskintrail.control.internal.replica.ControlReplica;
import io.siskintrail.control.internal.replica.ReplicaPlan;
import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.control.ControlImage;
import io.siskintrail.internal.control.ControlState;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.storage.DataFolder;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.ThriftRecordCodec;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.RemoteControlClient;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Three control replicas with files in a temporary folder, over loopback sockets. */
final class FileLog implements AutoCloseable {
    private static final int REPLICAS = 3;
    private static final String SHARED_KEY = "ledger-faults-control";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final List<HostInfo> replicas = new ArrayList<>();
    private final Node[] nodes = new Node[REPLICAS];
    private final List<Client> clients = new ArrayList<>();
    private final Path folder;

    FileLog() throws IOException {
        folder = Files.createTempDirectory("ledger-faults");
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(info("control-" + i));
        }
        restart();
    }

    /** Returns a new client for a process of its own. */
    synchronized ControlClient newClient() {
        Client client = new Client(info("client-" + clients.size()));
        clients.add(client);
        for (Node node : nodes) {
            if (node != null) {
                node.addPeer(client.self);
            }
        }
        return client.remote;
    }

    /** Kills the leader, and with {@code majority} one more replica. */
    synchronized void kill(boolean majority) {
        int leader = 0;
        for (int i = 0; i < REPLICAS; i++) {
            if (nodes[i] != null && nodes[i].leads()) {
                leader = i;
            }
        }
        kill(leader);
        if (majority) {
            kill((leader + 1) % REPLICAS);
        }
    }

    private void kill(int number) {
        if (nodes[number] != null) {
            nodes[number].kill();
            nodes[number] = null;
        }
    }

    /** Starts the killed replicas again from their files. */
    synchronized void restart() {
        for (int i = 0; i < REPLICAS; i++) {
            if (nodes[i] == null) {
                nodes[i] = new Node(i);
            }
        }
    }

    @Override
    public synchronized void close() {
        clients.forEach(Client::close);
        for (int i = 0; i < REPLICAS; i++) {
            kill(i);
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot remove " + folder, e);
        }
    }

    private static HostInfo info(String name) {
        return new HostInfo(new HostId(name), new FailureDomain("local"), FreePorts.address());
    }

    private static ThriftPeerTransport transport(HostInfo self, List<HostInfo> peers) {
        ThriftPeerTransport transport =
                new ThriftPeerTransport(self.id(), Addresses.parse(self.peerAddress()), SHARED_KEY);
        for (HostInfo peer : peers) {
            if (!peer.equals(self)) {
                transport.addPeer(peer.id(), Addresses.parse(peer.peerAddress()));
            }
        }
        return transport;
    }

    /** One replica. */
    private final class Node {
        private final ControlLoop loop = new ControlLoop("control");
        private final ThriftPeerTransport transport;
        private final DataFolder data;
        private final ControlReplica<ControlCommand, ControlAnswer, ControlImage> replica;

        Node(int number) {
            HostInfo self = replicas.get(number);
            transport = transport(self, replicas);
            clients.forEach(c -> addPeer(c.self));
            data = DataFolder.open(folder.resolve(self.id().value()));
            List<HostInfo> others = replicas.stream().filter(r -> !r.equals(self)).toList();
            replica =
                    new ControlReplica<>(
                            ReplicaPlan.of(
                                    self, others, replicas.stream().map(HostInfo::id).toList()),
                            data.diskId(),
                            new FileLogStore(
                                    data.files(),
                                    new ThriftRecordCodec(),
                                    FileLogStore.DEFAULT_SEGMENT_BYTES),
                            new ControlState(),
                            new ControlStateCodec(),
                            transport,
                            loop,
                            RANDOM.nextLong());
            transport.start();
            replica.start();
        }

        void addPeer(HostInfo peer) {
            transport.addPeer(peer.id(), Addresses.parse(peer.peerAddress()));
        }

        boolean leads() {
            return ControlLoop.nowMillis() < replica.lease().untilMillis();
        }

        /** Ends the replica without a hand-over. */
        void kill() {
            loop.stop();
            transport.close();
            replica.stop();
            data.close();
        }
    }

    /** The connection of one process that holds no replica. */
    private final class Client implements AutoCloseable {
        private final HostInfo self;
        private final ControlLoop loop = new ControlLoop("client");
        private final ThriftPeerTransport transport;
        private final RemoteControlClient remote;

        Client(HostInfo self) {
            this.self = self;
            transport = transport(self, replicas);
            remote =
                    new RemoteControlClient(
                            replicas.stream().map(HostInfo::id).toList(),
                            transport,
                            loop::execute,
                            ControlLoop::nowMillis,
                            RANDOM.nextLong());
            remote.register();
            transport.start();
            loop.every(RemoteControlClient.TICK_MILLIS, remote::tick);
        }

        @Override
        public void close() {
            loop.stop();
            transport.close();
        }
    }
}
