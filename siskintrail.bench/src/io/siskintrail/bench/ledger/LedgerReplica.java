package io.siskintrail.bench.ledger;

import io.siskintrail.control.internal.replica.ControlReplica;
import io.siskintrail.control.internal.replica.ReplicaPlan;
import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.control.ControlImage;
import io.siskintrail.internal.control.ControlState;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.storage.DataFolder;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.storage.LogStore;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.ThriftRecordCodec;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/** One replica of the control log on loopback and on real files. */
final class LedgerReplica implements AutoCloseable {
    static final String SHARED_KEY = "bench-shared-key";

    private final ControlLoop loop = new ControlLoop("control");
    private final ThriftPeerTransport transport;
    private final DataFolder folder;
    private final ControlReplica<ControlCommand, ControlAnswer, ControlImage> replica;

    LedgerReplica(
            HostInfo self, List<HostInfo> replicas, HostInfo client, Path path, boolean grouped) {
        transport =
                new ThriftPeerTransport(self.id(), Addresses.parse(self.peerAddress()), SHARED_KEY);
        List<HostInfo> others = replicas.stream().filter(h -> !h.equals(self)).toList();
        others.forEach(this::addPeer);
        addPeer(client);
        folder = DataFolder.open(path);
        LogStore files =
                new FileLogStore(
                        folder.files(),
                        new ThriftRecordCodec(),
                        FileLogStore.DEFAULT_SEGMENT_BYTES);
        List<HostId> first = replicas.stream().map(HostInfo::id).toList();
        replica =
                new ControlReplica<>(
                        ReplicaPlan.of(self, others, first),
                        folder.diskId(),
                        grouped ? files : new SyncEachStore(files),
                        new ControlState(),
                        new ControlStateCodec(),
                        transport,
                        loop,
                        new Random().nextLong());
    }

    void start() {
        transport.start();
        replica.start();
    }

    boolean leads() {
        return ControlLoop.nowMillis() < replica.lease().untilMillis();
    }

    long commitIndex() {
        return replica.status() == null ? 0 : replica.status().commitIndex();
    }

    @Override
    public void close() {
        replica.stop();
        transport.close();
        loop.stop();
        folder.close();
    }

    private void addPeer(HostInfo host) {
        transport.addPeer(host.id(), Addresses.parse(host.peerAddress()));
    }
}
