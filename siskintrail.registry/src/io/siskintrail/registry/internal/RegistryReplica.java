package io.siskintrail.registry.internal;

import io.siskintrail.internal.consensus.EntryBody;
import io.siskintrail.internal.consensus.Formation;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.ReplacementPolicy;
import io.siskintrail.internal.consensus.Replica;
import io.siskintrail.internal.consensus.ReplicaChange;
import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.internal.consensus.ReplicaHealth;
import io.siskintrail.internal.consensus.ReplicaId;
import io.siskintrail.internal.consensus.ReplicaInput;
import io.siskintrail.internal.consensus.ReplicaSet;
import io.siskintrail.internal.consensus.ReplicaSettings;
import io.siskintrail.internal.consensus.Role;
import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.rollout.RolloutTable;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.service.ThreadFaults;
import io.siskintrail.storage.DiskThread;
import io.siskintrail.storage.LogStore;
import io.siskintrail.storage.StorageException;
import io.siskintrail.wire.ConsensusCodec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * The replica of the configuration log in this process. Its decisions are made by {@link Replica}
 * on the event loop; one more thread writes to the disk. A disk that refuses writes is opened again
 * until it takes them.
 */
final class RegistryReplica implements Service {
    private static final System.Logger LOG = System.getLogger(RegistryReplica.class.getName());

    /**
     * Times of the log. There is no lease: a host that was suspended does not notice the time that
     * passed, so a read always waits for a round to a majority.
     */
    private static final ReplicaSettings SETTINGS =
            new ReplicaSettings(100, 900, 0, 64, 256 << 10, 256, 256 << 10, 16, 2L << 20, 8L << 20);

    private static final long TICK_MILLIS = 50;
    private static final long OFFER_MILLIS = 150;
    private static final long REOPEN_MILLIS = 300;

    /** Silence after which a replica is replaced if a spare is there; two elections. */
    private static final long LOST_AFTER_MILLIS = 1_800;

    /** Most entries between two snapshots. */
    private static final int SNAPSHOT_ENTRIES = 32;

    /** Payload of the entries between two snapshots, in bytes: a configuration can be megabytes. */
    private static final long SNAPSHOT_BYTES = 4L << 20;

    /** Silence of a leader or a majority after which what is held may be outdated. */
    private static final long CURRENT_MILLIS = 1_000;

    private static final long REFUSED = -1;

    private final EventLoop loop;
    private final ReplicaDisk disk;
    private final FailureDomain domain;
    private final int voters;
    private final RegistryPeers peers;
    private final Runnable changed;
    private final ReplicatedState state = new ReplicatedState(this::rolloutChanged);
    private final List<ReplicaEffect.Persist> unsynced = new ArrayList<>();
    private final Map<HostId, FailureDomain> domains = new HashMap<>();
    private final Map<Long, PendingCommand> proposals = new HashMap<>();
    private final Map<Long, LongConsumer> reads = new HashMap<>();
    private final TreeMap<Long, AppendedProposal> appended = new TreeMap<>();
    private final TreeMap<Long, List<Runnable>> applyWaiters = new TreeMap<>();
    private final Formation formation;
    private final ReplacementPolicy replacement;
    private final long seed;
    private ReplicaId self;
    private Replica replica;
    private DiskThread writer;
    private LogStore store;
    private long applied;
    private long nextToken = 1;
    private long snapshotAt;
    private long bytesSinceSnapshot;
    private int opened;

    /** A command that is proposed and not committed, and who waits for it. */
    private record PendingCommand(byte[] command, List<LongConsumer> waiting) {}

    /** A proposal that stands in the log and waits for its commit. */
    private record AppendedProposal(long token, long term) {}

    /**
     * Opens the disk and prepares the replica.
     *
     * @param disk the data folder
     * @param domain the failure domain of this host
     * @param host the host as peers know it
     * @param first the hosts that begin a log; empty when this host must not
     * @param voters how many replicas are to vote
     * @param peers reaches the other hosts
     * @param changed called when another configuration is in force, or a rollout started or ended
     * @param seed differs between processes and their restarts
     */
    RegistryReplica(
            EventLoop loop,
            ReplicaDisk disk,
            FailureDomain domain,
            HostId host,
            List<HostId> first,
            int voters,
            RegistryPeers peers,
            Runnable changed,
            long seed) {
        this.loop = loop;
        this.disk = disk;
        this.domain = domain;
        this.voters = voters;
        this.peers = peers;
        this.changed = changed;
        this.seed = seed;
        self = new ReplicaId(host, disk.diskId());
        formation = new Formation(self, disk.hasFilesAside() ? List.of() : first);
        replacement = new ReplacementPolicy(voters, LOST_AFTER_MILLIS);
        domains.put(host, domain);
        open();
    }

    @Override
    public void start() {
        writer.start();
        loop.every(TICK_MILLIS, () -> step(new ReplicaInput.Tick()));
        loop.every(OFFER_MILLIS, this::offerOrReplace);
        LogEvent.info(LOG, "replica.started")
                .with("replica", self)
                .with("term", replica.term())
                .with("last", replica.lastIndex())
                .with("version", configuration().version())
                .write();
    }

    @Override
    public void stop() {
        step(new ReplicaInput.TransferLeadership());
    }

    /** Ends the writing to the disk; to be called when the event loop has ended. */
    void closeDisk() {
        writer.stop();
        store.close();
        disk.close();
    }

    /** Returns the newest configuration that is known to be committed. */
    NewestConfiguration configuration() {
        return state.configuration();
    }

    /** Returns the rollouts that are known to be committed. */
    RolloutTable rollouts() {
        return state.rollouts();
    }

    /** Returns the hosts whose replicas are in use. */
    List<HostId> hosts() {
        List<HostId> hosts = new ArrayList<>();
        replica.replicas().voters().forEach(r -> hosts.add(r.host()));
        replica.replicas().learners().forEach(r -> hosts.add(r.host()));
        return hosts;
    }

    /** Returns whether there was lately no newer configuration than the one held. */
    boolean isCurrent() {
        if (applied == 0 && replica.lastIndex() == 0) {
            return false;
        }
        if (replica.role() != Role.LEADER) {
            long silent = replica.leaderSilentMillis(EventLoop.nowMillis());
            return replica.leader() != null && silent < CURRENT_MILLIS;
        }
        long heard =
                replica.health().stream()
                        .filter(ReplicaHealth::voter)
                        .filter(h -> h.silentMillis() < CURRENT_MILLIS)
                        .count();
        return heard + 1 >= replica.replicas().quorum();
    }

    /** Returns the host of the leader, null when unknown. */
    HostId leader() {
        return replica.leader() == null ? null : replica.leader().host();
    }

    /** Returns whether this replica leads. */
    boolean isLeader() {
        return replica.role() == Role.LEADER;
    }

    /** Returns the payload bytes of the log in memory, for metrics. */
    long logBytes() {
        return replica.logBytes();
    }

    /** Returns whether files of this disk were put aside, for metrics. */
    boolean hasFilesAside() {
        return disk.hasFilesAside();
    }

    /** Returns the term, for metrics. */
    long term() {
        return replica.term();
    }

    /** Returns the index of the last applied entry. */
    long applied() {
        return applied;
    }

    /**
     * Commits a command; {@code done} gets its index, or -1 when this replica did not take it. A
     * command that is sent again while it waits is not put into the log again.
     */
    void propose(byte[] command, LongConsumer done) {
        for (PendingCommand pending : proposals.values()) {
            if (Arrays.equals(pending.command(), command)) {
                pending.waiting().add(done);
                return;
            }
        }
        long token = nextToken++;
        proposals.put(token, new PendingCommand(command, new ArrayList<>(List.of(done))));
        var proposal = new ReplicaInput.Proposal(token, Payload.wrap(command));
        step(new ReplicaInput.Propose(List.of(proposal), System.currentTimeMillis()));
    }

    /** Asks a leader from which index on a read is linearizable; -1 when it cannot tell. */
    void read(LongConsumer done) {
        long token = nextToken++;
        reads.put(token, done);
        step(new ReplicaInput.Read(token));
    }

    /** Runs {@code task} once the entry at {@code index} is applied. */
    void whenApplied(long index, Runnable task) {
        if (applied >= index) {
            task.run();
        } else {
            applyWaiters.computeIfAbsent(index, i -> new ArrayList<>()).add(task);
        }
    }

    /** Takes a message of another replica. */
    void receive(byte[] body) {
        ConsensusCodec.Received received = ConsensusCodec.decode(body);
        if (received instanceof ConsensusCodec.Received.Message m) {
            if (m.receiver().equals(self)) {
                step(new ReplicaInput.Received(m.sender(), m.message()));
            }
        } else if (received instanceof ConsensusCodec.Received.Offer o) {
            long now = EventLoop.nowMillis();
            domains.put(o.sender().host(), o.domain());
            replacement.offered(now, o.sender(), o.domain());
            if (o.forming()) {
                formation.waits(now, o.sender());
            }
        }
    }

    private void open() {
        store = disk.open();
        StoredState stored = store.open();
        restore(stored.snapshot().image(), stored.snapshot().position().index());
        replica = new Replica(self, SETTINGS, stored, seed + opened);
        opened++;
        writer = new DiskThread(store, this::synced, this::failed);
    }

    private void offerOrReplace() {
        long now = EventLoop.nowMillis();
        if (replica.role() == Role.LEADER) {
            replacement
                    .next(now, self, replica.replicas(), replica.health(), domains)
                    .ifPresent(this::change);
            return;
        }
        boolean pristine = replica.isPristine() && !disk.hasFilesAside();
        ReplicaSet first = pristine ? formation.decide(now) : null;
        if (first != null) {
            LogEvent.info(LOG, "replica.log.begun").with("replicas", first.voters()).write();
            step(new ReplicaInput.Form(first));
        } else if (replica.isPristine()
                || replica.leaderSilentMillis(now) > SETTINGS.electionMillis()) {
            peers.broadcastConsensus(ConsensusCodec.encodeOffer(self, domain, pristine));
        }
    }

    private void change(ReplicaChange change) {
        if (replica.replicasSettled()) {
            LogEvent.info(LOG, "replica.change").with("change", change).write();
            step(new ReplicaInput.ChangeReplicas(change));
        }
    }

    private void step(ReplicaInput input) {
        long now = EventLoop.nowMillis();
        replica.step(now, input).forEach(this::carryOut);
        takeSnapshot();
    }

    private void carryOut(ReplicaEffect effect) {
        if (effect instanceof ReplicaEffect.Persist p) {
            unsynced.add(p);
        } else if (effect instanceof ReplicaEffect.Sync s) {
            writer.submit(List.copyOf(unsynced), s.number());
            unsynced.clear();
        } else if (effect instanceof ReplicaEffect.Send s) {
            peers.sendConsensus(s.to().host(), ConsensusCodec.encode(self, s.to(), s.message()));
        } else if (effect instanceof ReplicaEffect.Commit c) {
            c.entries().forEach(this::commit);
        } else if (effect instanceof ReplicaEffect.Restore r) {
            restore(r.snapshot().image(), r.snapshot().position().index());
            changed.run();
        } else if (effect instanceof ReplicaEffect.Proposed p) {
            appended.put(
                    p.position().index(), new AppendedProposal(p.token(), p.position().term()));
        } else if (effect instanceof ReplicaEffect.ProposalRefused p) {
            finishProposal(p.token(), REFUSED);
        } else if (effect instanceof ReplicaEffect.ReadReady r) {
            finishRead(r.token(), r.index());
        } else if (effect instanceof ReplicaEffect.ReadRefused r) {
            finishRead(r.token(), REFUSED);
        } else if (effect instanceof ReplicaEffect.RoleChanged r) {
            roleChanged(r);
        }
    }

    private void commit(LogEntry entry) {
        applied = entry.index();
        boolean isNew = false;
        if (entry.body() instanceof EntryBody.Command c) {
            bytesSinceSnapshot += c.payload().length();
            isNew = state.apply(c.payload().array(), EventLoop.nowMillis());
        }
        AppendedProposal mine = appended.remove(entry.index());
        if (mine != null) {
            finishProposal(mine.token(), mine.term() == entry.term() ? applied : REFUSED);
        }
        if (isNew) {
            LogEvent.info(LOG, "configuration.committed")
                    .with("version", configuration().version())
                    .with("bytes", configuration().content().length)
                    .with("index", applied)
                    .write();
            changed.run();
        }
        runApplied();
    }

    private void restore(Payload image, long index) {
        state.restore(image.array(), EventLoop.nowMillis());
        applied = Math.max(applied, index);
        snapshotAt = Math.max(snapshotAt, index);
        bytesSinceSnapshot = 0;
        runApplied();
    }

    private void rolloutChanged(RolloutRecord rollout) {
        LogEvent.info(LOG, "rollout.committed")
                .with("service", rollout.order().service())
                .with("to", rollout.order().to())
                .with("number", rollout.number())
                .with("status", rollout.status())
                .with("index", applied)
                .write();
        changed.run();
    }

    private void runApplied() {
        while (!applyWaiters.isEmpty() && applyWaiters.firstKey() <= applied) {
            applyWaiters.pollFirstEntry().getValue().forEach(Runnable::run);
        }
    }

    private void takeSnapshot() {
        if (applied - snapshotAt >= SNAPSHOT_ENTRIES || bytesSinceSnapshot >= SNAPSHOT_BYTES) {
            snapshotAt = applied;
            bytesSinceSnapshot = 0;
            step(new ReplicaInput.SnapshotTaken(applied, Payload.wrap(state.image())));
        }
    }

    private void roleChanged(ReplicaEffect.RoleChanged change) {
        if (change.role() != Role.LEADER) {
            appended.values().forEach(p -> finishProposal(p.token(), REFUSED));
            appended.clear();
        }
        LogEvent.info(LOG, "replica.role")
                .with("replica", self)
                .with("role", change.role())
                .with("term", change.term())
                .with("leader", change.leader())
                .write();
    }

    private void synced(long number) {
        DiskThread from = writer;
        loop.execute(
                () -> {
                    if (from == writer) {
                        step(new ReplicaInput.Synced(number));
                    }
                });
    }

    private void failed(StorageException e) {
        LogEvent.warning(LOG, "replica.storage.failed")
                .with("replica", self)
                .with("code", e.failure().code().number())
                .with("detail", e.failure().detail())
                .write();
        loop.after(REOPEN_MILLIS, this::reopen);
    }

    /**
     * Begins again from what the disk holds; nothing unsynced was promised to anybody. A disk that
     * cannot be read is a matter for the next start of the process, which replaces it.
     */
    private void reopen() {
        writer.stop();
        closeFailedStore();
        unsynced.clear();
        appended.values().forEach(p -> finishProposal(p.token(), REFUSED));
        appended.clear();
        try {
            open();
            writer.start();
            LogEvent.info(LOG, "replica.storage.reopened")
                    .with("replica", self)
                    .with("last", replica.lastIndex())
                    .write();
        } catch (StorageException e) {
            if (ReplicaDisk.isDamage(e)) {
                ThreadFaults.fatal(e);
            }
            failed(e);
        } catch (RuntimeException e) {
            ThreadFaults.fatal(e);
            throw e;
        }
    }

    /**
     * Closes a store that failed; an error of that is of no account, since it is not used again.
     */
    private void closeFailedStore() {
        try {
            store.close();
        } catch (StorageException e) {
            LogEvent.warning(LOG, "replica.storage.not-closed")
                    .with("replica", self)
                    .with("detail", e.failure().detail())
                    .write();
        }
    }

    private void finishProposal(long token, long index) {
        PendingCommand pending = proposals.remove(token);
        if (pending != null) {
            pending.waiting().forEach(done -> done.accept(index));
        }
    }

    private void finishRead(long token, long index) {
        LongConsumer done = reads.remove(token);
        if (done != null) {
            done.accept(index);
        }
    }
}
