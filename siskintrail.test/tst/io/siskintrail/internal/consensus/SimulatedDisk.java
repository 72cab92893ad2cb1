package io.siskintrail.internal.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A disk that keeps what was synced and, after a crash, a random prefix of the rest. */
final class SimulatedDisk implements NodeDisk {
    private final List<ReplicaEffect.Persist> unsynced = new ArrayList<>();
    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = HardState.INITIAL;
    private Snapshot snapshot;

    SimulatedDisk(Snapshot snapshot) {
        this.snapshot = snapshot;
    }

    @Override
    public void preset(HardState state, List<LogEntry> stored) {
        hardState = state;
        entries.addAll(stored);
    }

    @Override
    public void write(ReplicaEffect.Persist op) {
        unsynced.add(op);
    }

    @Override
    public int unsyncedCount() {
        return unsynced.size();
    }

    @Override
    public boolean sync(int count) {
        for (int i = 0; i < count; i++) {
            apply(unsynced.get(i));
        }
        unsynced.subList(0, count).clear();
        return true;
    }

    /** Loses a random suffix of what was not synced; the last survivor can be torn. */
    @Override
    public void kill(SplittableRandom random) {
        sync(random.nextInt(unsynced.size() + 1));
        if (!unsynced.isEmpty()
                && unsynced.get(0) instanceof ReplicaEffect.AppendEntries a
                && random.nextBoolean()) {
            int whole = random.nextInt(a.entries().size());
            apply(new ReplicaEffect.AppendEntries(a.entries().subList(0, whole)));
        }
        unsynced.clear();
    }

    @Override
    public void losePower(SplittableRandom random) {
        kill(random);
    }

    @Override
    public void refuse(SplittableRandom random) {}

    @Override
    public void repair() {}

    @Override
    public StoredState open(SplittableRandom random) {
        return peek();
    }

    @Override
    public StoredState peek() {
        return new StoredState(hardState, snapshot, entries);
    }

    private void apply(ReplicaEffect.Persist op) {
        if (op instanceof ReplicaEffect.SaveHardState s) {
            hardState = s.hardState();
        } else if (op instanceof ReplicaEffect.AppendEntries a) {
            entries.addAll(a.entries());
        } else if (op instanceof ReplicaEffect.TruncateFrom t) {
            entries.removeIf(e -> e.index() >= t.index());
        } else if (op instanceof ReplicaEffect.CompactTo c) {
            entries.removeIf(e -> e.index() < c.index());
        } else if (op instanceof ReplicaEffect.SaveSnapshot s) {
            if (s.snapshot().position().index() >= snapshot.position().index()) {
                snapshot = s.snapshot();
            }
            if (s.resetsLog()) {
                entries.clear();
            }
        }
    }
}
