package io.siskintrail.internal.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** One replica of a simulation with its disk, its clock and the state it has applied. */
final class SimulatedNode {
    final ReplicaId id;
    final NodeDisk disk;
    final List<Runnable> whilePaused = new ArrayList<>();
    private final double clockRate;
    Replica replica;
    int generation;
    boolean paused;
    boolean lost;
    long applied;
    int unsyncedTaken;
    long syncReadyAt;

    SimulatedNode(ReplicaId id, NodeDisk disk, double clockRate) {
        this.id = id;
        this.disk = disk;
        this.clockRate = clockRate;
    }

    boolean isUp() {
        return replica != null;
    }

    long clock(long now) {
        return (long) (now * clockRate);
    }

    boolean holdsLease(long now) {
        return isUp() && !paused && replica.holdsLease(clock(now));
    }

    Payload image(Oracle oracle) {
        ByteBuffer b = ByteBuffer.allocate(2 * Long.BYTES);
        return Payload.wrap(b.putLong(applied).putLong(oracle.hash(applied)).array());
    }

    /** Starts from the image of a snapshot and returns whether it fits the committed log. */
    boolean restore(Snapshot snapshot, Oracle oracle) {
        applied = snapshot.position().index();
        if (applied == 0) {
            return true;
        }
        ByteBuffer b = ByteBuffer.wrap(snapshot.image().array());
        return b.getLong() == applied && b.getLong() == oracle.hash(applied);
    }

    @Override
    public String toString() {
        String state =
                replica == null
                        ? "down"
                        : "%s term=%d last=%d commit=%d replicas=%s health=%s"
                                .formatted(
                                        replica.role(),
                                        replica.term(),
                                        replica.lastIndex(),
                                        replica.commitIndex(),
                                        replica.replicas(),
                                        replica.health());
        return "%n%s lost=%s %s".formatted(id, lost, state);
    }
}
