package io.siskintrail.control.internal.replica;

import io.siskintrail.control.ControlSettings;
import io.siskintrail.control.internal.configuration.ControlLog;
import io.siskintrail.control.internal.configuration.LeaderLease;
import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.control.ControlImage;
import io.siskintrail.internal.control.ControlState;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.storage.DataFolder;
import io.siskintrail.storage.FileLogStore;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.PeerTransport;
import io.siskintrail.wire.control.ControlClient;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Optional;

/** The control log of a replica with a disk. Owns the data folder. */
public final class ReplicatedControlLog implements ControlLog {
    private final DataFolder folder;
    private final ControlReplica<ControlCommand, ControlAnswer, ControlImage> replica;

    private ReplicatedControlLog(
            DataFolder folder,
            ControlReplica<ControlCommand, ControlAnswer, ControlImage> replica) {
        this.folder = folder;
        this.replica = replica;
    }

    /**
     * Opens the data folder and prepares the replica; to be called before the transport starts.
     *
     * @throws io.siskintrail.storage.StorageException when the stored state cannot be used
     */
    public static ReplicatedControlLog open(
            ControlSettings settings, PeerTransport transport, ControlLoop loop) {
        DataFolder folder = DataFolder.open(Path.of(settings.dataFolder()));
        FileLogStore store =
                new FileLogStore(
                        folder.files(),
                        new ThriftRecordCodec(),
                        FileLogStore.DEFAULT_SEGMENT_BYTES);
        ReplicaPlan plan =
                ReplicaPlan.of(settings.info(), settings.replicaHosts(), settings.firstHosts());
        ControlReplica<ControlCommand, ControlAnswer, ControlImage> replica =
                new ControlReplica<>(
                        plan,
                        folder.diskId(),
                        store,
                        new ControlState(),
                        new ControlStateCodec(),
                        transport,
                        loop,
                        new SecureRandom().nextLong());
        return new ReplicatedControlLog(folder, replica);
    }

    @Override
    public ControlClient client() {
        return replica.client();
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
        folder.close();
    }
}
