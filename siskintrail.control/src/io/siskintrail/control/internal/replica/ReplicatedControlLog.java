package io.siskintrail.control.internal.replica;

import io.siskintrail.control.ControlSettings;
import io.siskintrail.control.internal.configuration.ControlLog;
import io.siskintrail.control.internal.configuration.LeaderLease;
import io.siskintrail.internal.consensus.Snapshot;
import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.control.ControlImage;
import io.siskintrail.internal.control.ControlState;
import io.siskintrail.internal.ledger.OrderRecord;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.storage.DataFolder;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.storage.LogStore;
import io.siskintrail.storage.MemoryLogStore;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.PeerTransport;
import io.siskintrail.wire.ThriftRecordCodec;
import io.siskintrail.wire.control.ControlClient;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The control log of this process: its replica, on a disk or in memory. Owns the data folder. */
public final class ReplicatedControlLog implements ControlLog {
    private final Runnable release;
    private final ControlLoop loop;
    private final ControlState state = new ControlState();
    private final ControlReplica<ControlCommand, ControlAnswer, ControlImage> replica;

    private ReplicatedControlLog(
            ControlSettings settings,
            long diskId,
            LogStore store,
            Runnable release,
            PeerTransport transport,
            ControlLoop loop) {
        ReplicaPlan plan =
                ReplicaPlan.of(settings.info(), settings.replicaHosts(), settings.firstHosts());
        this.release = release;
        this.loop = loop;
        this.replica =
                new ControlReplica<>(
                        plan,
                        diskId,
                        store,
                        state,
                        new ControlStateCodec(),
                        transport,
                        loop,
                        new SecureRandom().nextLong());
    }

    /**
     * Opens the data folder, or memory where the settings name none, and prepares the replica; to
     * be called before the transport starts.
     *
     * @throws io.siskintrail.storage.StorageException when the stored state cannot be used
     */
    public static ReplicatedControlLog open(
            ControlSettings settings, PeerTransport transport, ControlLoop loop) {
        if (settings.dataFolder().isEmpty()) {
            LogStore store = new MemoryLogStore(Snapshot.EMPTY);
            return new ReplicatedControlLog(settings, 0, store, () -> {}, transport, loop);
        }
        DataFolder folder = DataFolder.open(Path.of(settings.dataFolder()));
        LogStore store =
                new FileLogStore(
                        folder.files(),
                        new ThriftRecordCodec(),
                        FileLogStore.DEFAULT_SEGMENT_BYTES);
        return new ReplicatedControlLog(
                settings, folder.diskId(), store, folder::close, transport, loop);
    }

    @Override
    public ControlClient client() {
        return replica.client();
    }

    @Override
    public CompletionStage<List<OrderRecord>> orders() {
        return loop.submit(() -> state.ledger().image().records());
    }

    @Override
    public LeaderLease lease() {
        return replica.lease();
    }

    @Override
    public Optional<ReplicaStatus> status() {
        return Optional.ofNullable(replica.status());
    }

    @Override
    public void start() {
        replica.start();
    }

    @Override
    public void stop() {
        replica.stop();
        release.run();
    }
}
