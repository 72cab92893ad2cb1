package io.siskintrail.internal.consensus;

import java.util.List;
import java.util.SplittableRandom;

/** The disk of a replica in a simulation: changes gather, and syncs make them durable in order. */
interface NodeDisk {

    /** Stores what a replica is to begin with. */
    void preset(HardState state, List<LogEntry> stored);

    /** Adds a change behind the ones that wait for a sync. */
    void write(ReplicaEffect.Persist op);

    /** Returns how many changes wait for a sync. */
    int unsyncedCount();

    /** Makes the first {@code count} changes durable; returns false when the disk refuses it. */
    boolean sync(int count);

    /** Ends the process that writes, at any moment of it. */
    void kill(SplittableRandom random);

    /** Ends the process and takes the power away. */
    void losePower(SplittableRandom random);

    /** Lets the disk refuse changes until the process ends or {@link #repair} is called. */
    void refuse(SplittableRandom random);

    /** Lets the disk take changes. */
    void repair();

    /**
     * Reads what a process finds that starts now.
     *
     * @return null when the process is ended meanwhile
     */
    StoredState open(SplittableRandom random);

    /** Returns what {@link #open} would find, and changes nothing. */
    StoredState peek();
}
