package io.siskintrail.control.internal.replica;

import io.siskintrail.control.internal.configuration.LeaderLease;
import io.siskintrail.internal.consensus.Formation;
import io.siskintrail.internal.consensus.LogEntry;
import io.siskintrail.internal.consensus.ReplacementPolicy;
import io.siskintrail.internal.consensus.Replica;
import io.siskintrail.internal.consensus.ReplicaEffect;
import io.siskintrail.internal.consensus.ReplicaId;
import io.siskintrail.internal.consensus.ReplicaInput;
import io.siskintrail.internal.consensus.ReplicaSet;
import io.siskintrail.internal.consensus.Role;
import io.siskintrail.internal.consensus.StoredState;
import io.siskintrail.internal.replicated.ReplicatedState;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.storage.DiskThread;
import io.siskintrail.storage.LogStore;
import io.siskintrail.storage.StorageException;
import io.siskintrail.wire.ConsensusCodec;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerTransport;
import io.siskintrail.wire.control.CommittedListener;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.ControlMessage;
import io.siskintrail.wire.control.ControlMessageCodec;
import io.siskintrail.wire.control.RemoteControlClient;
import io.siskintrail.wire.control.StateCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * A replica of the control log in this process. Its decisions are made by {@link Replica} on the
 * control thread; one more thread writes to the disk.
 *
 * @param <C> the commands
 * @param <A> the answers
 * @param <S> the images
 */
public final class ControlReplica<C, A, S> implements Service {
    private static final System.Logger LOG = System.getLogger(ControlReplica.class.getName());
    private static final long TICK_MILLIS = 20;
    private static final long OFFER_MILLIS = 500;
    private static final long HAND_OVER_MILLIS = 2_000;
    private static final long HAND_OVER_POLL_MILLIS = 10;

    private final ReplicaPlan plan;
    private final ReplicaId self;
    private final LogStore store;
    private final PeerTransport transport;
    private final ControlLoop loop;
    private final Replica replica;
    private final StateRunner<C, A, S> runner;
    private final ProposalDesk proposals = new ProposalDesk(this::sendControl);
    private final FollowDesk follows;
    private final Formation formation;
    private final ReplacementPolicy replacement;
    private final Map<HostId, FailureDomain> domains = new HashMap<>();
    private final DiskThread disk;
    private final SnapshotSchedule snapshots;
    private final RemoteControlClient remote;
    private final List<ReplicaEffect.Persist> unsynced = new ArrayList<>();
    private volatile LeaderLease lease = LeaderLease.NONE;
    private volatile ReplicaStatus status;
    private volatile boolean stopped;
    private boolean leading;
    private long startIndex;

    /**
     * Opens the store and prepares the replica; to be made before the transport starts.
     *
     * @param plan what the replica knows of its deployment
     * @param diskId the number of the disk
     * @param store the stored state, owned by this replica from now on
     * @param state the state that commands are applied to, on the control thread
     * @param codec converts its commands, answers and images
     * @param outside reaches the other hosts
     * @param loop the control thread, owned by the caller
     * @param seed a random number that differs between processes and their restarts
     * @throws StorageException when the stored state cannot be used
     */
    public ControlReplica(
            ReplicaPlan plan,
            long diskId,
            LogStore store,
            ReplicatedState<C, A, S> state,
            StateCodec<C, A, S> codec,
            PeerTransport outside,
            ControlLoop loop,
            long seed) {
        this.plan = plan;
        this.self = new ReplicaId(plan.self().id(), diskId);
        this.store = store;
        this.loop = loop;
        this.transport = new LoopbackTransport(self.host(), outside);
        StoredState stored = store.open();
        this.runner = new StateRunner<>(state, codec);
        runner.restore(stored.snapshot());
        this.snapshots = new SnapshotSchedule(plan.snapshotEntries(), seed, this::snapshotTaken);
        snapshots.restored(stored.snapshot().position().index());
        this.replica = new Replica(self, plan.settings(), stored, seed);
        this.follows = new FollowDesk(replica, this::sendControl);
        this.formation = new Formation(self, plan.first());
        this.replacement = new ReplacementPolicy(plan.first().size(), plan.lostAfterMillis());
        this.disk = new DiskThread(store, this::synced, this::failed);
        this.remote =
                new RemoteControlClient(
                        plan.hosts(), transport, loop::execute, ControlLoop::nowMillis, seed);
        domains.put(self.host(), plan.self().domain());
        plan.others().forEach(o -> domains.put(o.id(), o.domain()));
        transport.handle(MessageKind.CONSENSUS, this::receiveConsensus);
        transport.handle(MessageKind.CONTROL, this::receiveControl);
    }

    @Override
    public void start() {
        disk.start();
        loop.every(TICK_MILLIS, this::tick);
        loop.every(RemoteControlClient.TICK_MILLIS, remote::tick);
        loop.execute(this::offerOrReplace);
        loop.every(OFFER_MILLIS, this::offerOrReplace);
        LogEvent.info(LOG, "replica.started")
                .with("replica", self)
                .with("term", replica.term())
                .with("last", replica.lastIndex())
                .write();
    }

    /** Hands leadership over if this replica has it, then stops. */
    @Override
    public void stop() {
        handOver();
        stopped = true;
        lease = LeaderLease.NONE;
        disk.stop();
        snapshots.stop();
        store.close();
        LogEvent.info(LOG, "replica.stopped").with("replica", self).write();
    }

    /** Returns the access to the log for services of this process. */
    public ControlClient client() {
        return new ControlClient() {
            @Override
            public CompletionStage<byte[]> propose(byte[] command) {
                return remote.propose(command);
            }

            @Override
            public void follow(CommittedListener listener) {
                loop.execute(() -> runner.follow(listener));
            }
        };
    }

    /** Returns for how long this replica certainly leads; may be called from any thread. */
    public LeaderLease lease() {
        return lease;
    }

    /** Returns what the replica shows of itself, as of its last step; null before the first. */
    public ReplicaStatus status() {
        return status;
    }

    /** Returns the id of this replica. */
    public ReplicaId id() {
        return self;
    }

    private void handOver() {
        long end = ControlLoop.nowMillis() + HAND_OVER_MILLIS;
        loop.execute(() -> step(new ReplicaInput.TransferLeadership()));
        while (lease.untilMillis() > ControlLoop.nowMillis() && ControlLoop.nowMillis() < end) {
            try {
                TimeUnit.MILLISECONDS.sleep(HAND_OVER_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void tick() {
        step(new ReplicaInput.Tick());
    }

    /** Offers this disk when no leader is heard of; on a leader, replaces lost replicas. */
    private void offerOrReplace() {
        long now = ControlLoop.nowMillis();
        if (stopped) {
            return;
        }
        if (replica.role() == Role.LEADER) {
            replacement
                    .next(now, self, replica.replicas(), replica.health(), domains)
                    .ifPresent(change -> step(new ReplicaInput.ChangeReplicas(change)));
            return;
        }
        boolean pristine = replica.isPristine();
        ReplicaSet first = pristine ? formation.decide(now) : null;
        if (first != null) {
            LogEvent.info(LOG, "replica.log.begun").with("replicas", first.voters()).write();
            step(new ReplicaInput.Form(first));
            return;
        }
        if (pristine || replica.leaderSilentMillis(now) > plan.settings().electionMillis()) {
            byte[] offer = ConsensusCodec.encodeOffer(self, plan.self().domain(), pristine);
            plan.others().forEach(o -> transport.send(o.id(), MessageKind.CONSENSUS, offer));
        }
    }

    private void receiveConsensus(HostId from, byte[] body) {
        ConsensusCodec.Received received;
        try {
            received = ConsensusCodec.decode(body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "replica.message.damaged").with("from", from).write();
            return;
        }
        if (received instanceof ConsensusCodec.Received.Message m && m.receiver().equals(self)) {
            loop.execute(() -> step(new ReplicaInput.Received(m.sender(), m.message())));
        } else if (received instanceof ConsensusCodec.Received.Offer o) {
            loop.execute(() -> offered(o));
        }
    }

    private void offered(ConsensusCodec.Received.Offer offer) {
        long now = ControlLoop.nowMillis();
        replacement.offered(now, offer.sender(), offer.domain());
        if (offer.forming()) {
            formation.waits(now, offer.sender());
        }
    }

    private void receiveControl(HostId from, byte[] body) {
        ControlMessage message;
        try {
            message = ControlMessageCodec.decode(body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "control.message.damaged").with("from", from).write();
            return;
        }
        loop.execute(() -> receive(from, message));
    }

    private void receive(HostId from, ControlMessage message) {
        if (message instanceof ControlMessage.Propose p) {
            if (!stopped && proposals.gather(from, p)) {
                loop.execute(this::propose);
            }
        } else if (message instanceof ControlMessage.Follow f) {
            if (!stopped) {
                follows.ask(ControlLoop.nowMillis(), from, f);
            }
        } else {
            remote.receive(from, message);
        }
    }

    /** Appends all that was gathered while other tasks ran, as one batch. */
    private void propose() {
        step(new ReplicaInput.Propose(proposals.takeAll(), System.currentTimeMillis()));
    }

    private void step(ReplicaInput input) {
        if (stopped) {
            return;
        }
        long now = ControlLoop.nowMillis();
        replica.step(now, input).forEach(this::carryOut);
        updateLease();
        updateStatus();
        snapshots.applied(runner);
    }

    private void carryOut(ReplicaEffect effect) {
        if (effect instanceof ReplicaEffect.Persist p) {
            unsynced.add(p);
        } else if (effect instanceof ReplicaEffect.Sync s) {
            disk.submit(List.copyOf(unsynced), s.number());
            unsynced.clear();
        } else if (effect instanceof ReplicaEffect.Send s) {
            transport.send(
                    s.to().host(),
                    MessageKind.CONSENSUS,
                    ConsensusCodec.encode(self, s.to(), s.message()));
        } else if (effect instanceof ReplicaEffect.Commit c) {
            commit(c.entries());
        } else if (effect instanceof ReplicaEffect.Restore r) {
            runner.restore(r.snapshot());
            snapshots.restored(r.snapshot().position().index());
        } else if (effect instanceof ReplicaEffect.Proposed p) {
            proposals.appended(p.token(), p.position());
        } else if (effect instanceof ReplicaEffect.ProposalRefused p) {
            proposals.refused(p.token(), hostOf(p.leader()));
        } else if (effect instanceof ReplicaEffect.RoleChanged r) {
            roleChanged(r);
        }
    }

    private void commit(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            proposals.applied(entry.position(), runner.apply(entry));
        }
        follows.committed(ControlLoop.nowMillis());
    }

    private void roleChanged(ReplicaEffect.RoleChanged change) {
        leading = false;
        if (change.role() != Role.LEADER) {
            proposals.abandon(hostOf(change.leader()));
        }
        LogEvent.info(LOG, "replica.role")
                .with("replica", self)
                .with("role", change.role())
                .with("term", change.term())
                .with("leader", change.leader())
                .write();
    }

    /** Publishes the lease; its start is the last entry told to listeners when it began. */
    private void updateLease() {
        long until = replica.leaseUntil();
        if (until == Long.MIN_VALUE) {
            lease = LeaderLease.NONE;
            return;
        }
        if (!leading) {
            leading = true;
            startIndex = runner.deliveredIndex();
        }
        lease = new LeaderLease(until, startIndex);
    }

    private void snapshotTaken(ReplicaInput.SnapshotTaken snapshot) {
        loop.execute(() -> step(snapshot));
    }

    private void updateStatus() {
        status =
                new ReplicaStatus(
                        self,
                        !stopped,
                        replica.role(),
                        replica.term(),
                        replica.leader(),
                        replica.replicas(),
                        replica.replicasSettled(),
                        replica.commitIndex(),
                        replica.lastIndex());
    }

    private void synced(long number) {
        loop.execute(() -> step(new ReplicaInput.Synced(number)));
    }

    private void failed(StorageException e) {
        stopped = true;
        lease = LeaderLease.NONE;
        loop.execute(this::updateStatus);
        LogEvent.warning(LOG, "replica.storage.failed")
                .with("replica", self)
                .with("code", e.failure().code().number())
                .with("detail", e.failure().detail())
                .write();
    }

    private void sendControl(HostId to, ControlMessage message) {
        transport.send(to, MessageKind.CONTROL, ControlMessageCodec.encode(message));
    }

    private static HostId hostOf(ReplicaId id) {
        return id == null ? null : id.host();
    }
}
