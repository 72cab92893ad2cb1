package io.siskintrail.internal.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects the effects of a step and holds back each message until what it promises is durable.
 * Many steps can wait for one sync of the disk.
 */
final class Outbox {
    private final SafetyRules rules;
    private final Deque<Held> held = new ArrayDeque<>();
    private List<ReplicaEffect> effects = new ArrayList<>();
    private List<ReplicaEffect.Send> ready = new ArrayList<>();
    private boolean dirty;
    private long requested;
    private long synced;
    private long hardStateNumber;

    private record Held(long number, ReplicaEffect.Send send) {}

    Outbox(SafetyRules rules) {
        this.rules = rules;
    }

    void emit(ReplicaEffect effect) {
        effects.add(effect);
    }

    void persist(ReplicaEffect.Persist effect) {
        effects.add(effect);
        dirty = true;
        if (effect instanceof ReplicaEffect.SaveHardState) {
            hardStateNumber = pendingNumber();
        }
    }

    /** Sends once everything persisted so far is durable. */
    void send(ReplicaId to, ConsensusMessage message) {
        sendAfter(pendingNumber(), to, message);
    }

    /** Sends once the term and the vote are durable. */
    void sendEarly(ReplicaId to, ConsensusMessage message) {
        sendAfter(hardStateNumber, to, message);
    }

    /** Returns the number of the sync that makes everything persisted so far durable. */
    long pendingNumber() {
        return dirty ? requested + 1 : requested;
    }

    boolean hardStateDurable() {
        return synced >= hardStateNumber;
    }

    boolean isSynced(long number) {
        return synced >= number;
    }

    void synced(long number) {
        synced = Math.max(synced, number);
        while (!held.isEmpty() && held.peek().number() <= synced) {
            ready.add(held.poll().send());
        }
    }

    /** Ends the step and returns its effects; a sync is added when something was persisted. */
    List<ReplicaEffect> flush(RaftLog log) {
        List<ReplicaEffect> all = effects;
        if (dirty) {
            requested++;
            dirty = false;
            log.syncRequested(requested);
            all.add(new ReplicaEffect.Sync(requested));
        }
        all.addAll(ready);
        effects = new ArrayList<>();
        ready = new ArrayList<>();
        return all;
    }

    private void sendAfter(long number, ReplicaId to, ConsensusMessage message) {
        ReplicaEffect.Send send = new ReplicaEffect.Send(to, message);
        if (number <= synced || !rules.waitsForSync(message)) {
            ready.add(send);
        } else {
            held.add(new Held(number, send));
        }
    }
}
