package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.consensus.ReplicaId;
import io.siskintrail.internal.consensus.ReplicaSettings;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.storage.DataFolder;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.ThriftRecordCodec;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/** One host with a replica on real sockets and real files. */
final class TestHost implements AutoCloseable {
    private static final ReplicaSettings SETTINGS =
            new ReplicaSettings(40, 400, 300, 64, 1 << 16, 1024, 64, 5, 1 << 20, 1 << 22);
    private static final long LOST_AFTER_MILLIS = 1_500;
    private static final int SNAPSHOT_ENTRIES = 30;
    private static final int SEGMENT_BYTES = 2_000;

    final ControlReplica<String, Integer, String> replica;
    private final ControlLoop loop = new ControlLoop("control");
    private final ThriftPeerTransport transport;
    private final DataFolder folder;
    private final FollowedText followed = new FollowedText();

    TestHost(HostInfo self, List<HostInfo> all, List<HostId> first, Path path) {
        List<HostInfo> others = all.stream().filter(h -> !h.equals(self)).toList();
        transport =
                new ThriftPeerTransport(
                        self.id(), Addresses.parse(self.peerAddress()), "shared-key");
        others.forEach(o -> transport.addPeer(o.id(), Addresses.parse(o.peerAddress())));
        folder = DataFolder.open(path);
        FileLogStore store =
                new FileLogStore(folder.files(), new ThriftRecordCodec(), SEGMENT_BYTES);
        replica =
                new ControlReplica<>(
                        new ReplicaPlan(
                                self, others, first, SETTINGS, LOST_AFTER_MILLIS, SNAPSHOT_ENTRIES),
                        folder.diskId(),
                        store,
                        new JoinedText(),
                        new JoinedText.Codec(),
                        transport,
                        loop,
                        new Random().nextLong());
        transport.start();
        replica.start();
        replica.client().follow(followed);
    }

    static HostInfo info(String name, int port) {
        return new HostInfo(new HostId(name), new FailureDomain("d-" + name), "127.0.0.1:" + port);
    }

    String followed() {
        return followed.value();
    }

    void addPeer(HostInfo peer) {
        transport.addPeer(peer.id(), Addresses.parse(peer.peerAddress()));
    }

    /** Returns the hosts of the committed voters, none while a change is under way. */
    Set<HostId> voters() {
        ReplicaStatus status = replica.status();
        return status != null && status.settled()
                ? status.replicas().voters().stream()
                        .map(ReplicaId::host)
                        .collect(Collectors.toSet())
                : Set.of();
    }

    boolean leads() {
        return ControlLoop.nowMillis() < replica.lease().untilMillis();
    }

    /** Ends the host without a hand-over. */
    void kill() {
        loop.stop();
        close();
    }

    @Override
    public void close() {
        replica.stop();
        transport.close();
        loop.stop();
        folder.close();
    }
}
