package io.siskintrail.internal.consensus;

import java.util.Arrays;
import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The replicas that take part in the log.
 *
 * @param voters those that elect leaders and whose disks count for commits
 * @param learners those that receive the log without a vote
 */
public record ReplicaSet(SortedSet<ReplicaId> voters, SortedSet<ReplicaId> learners) {
    /** No replicas: what a blank data folder knows. */
    public static final ReplicaSet NONE = ofVoters(Set.of());

    /** Copies the sets. */
    public ReplicaSet {
        voters = Collections.unmodifiableSortedSet(new TreeSet<>(voters));
        learners = Collections.unmodifiableSortedSet(new TreeSet<>(learners));
    }

    /** Returns a set of voters without learners. */
    public static ReplicaSet ofVoters(Set<ReplicaId> voters) {
        return new ReplicaSet(new TreeSet<>(voters), new TreeSet<>());
    }

    /** Returns how many voters are a majority. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns whether {@code id} is a voter. */
    public boolean isVoter(ReplicaId id) {
        return voters.contains(id);
    }

    /** Returns whether {@code id} is a voter or a learner. */
    public boolean contains(ReplicaId id) {
        return voters.contains(id) || learners.contains(id);
    }

    /** Returns whether a majority of the voters passes {@code test}. */
    public boolean hasQuorum(Predicate<ReplicaId> test) {
        return !voters.isEmpty() && voters.stream().filter(test).count() >= quorum();
    }

    /** Returns the highest number that a majority of the voters has reached. */
    public long quorumValue(ToLongFunction<ReplicaId> number) {
        if (voters.isEmpty()) {
            return Long.MIN_VALUE;
        }
        long[] sorted = voters.stream().mapToLong(number).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length - quorum()];
    }

    ReplicaSet withLearner(ReplicaId id) {
        SortedSet<ReplicaId> next = new TreeSet<>(learners);
        next.add(id);
        return new ReplicaSet(voters, next);
    }

    ReplicaSet withVoter(ReplicaId id) {
        SortedSet<ReplicaId> nextVoters = new TreeSet<>(voters);
        nextVoters.add(id);
        SortedSet<ReplicaId> nextLearners = new TreeSet<>(learners);
        nextLearners.remove(id);
        return new ReplicaSet(nextVoters, nextLearners);
    }

    ReplicaSet without(ReplicaId id) {
        SortedSet<ReplicaId> nextVoters = new TreeSet<>(voters);
        nextVoters.remove(id);
        SortedSet<ReplicaId> nextLearners = new TreeSet<>(learners);
        nextLearners.remove(id);
        return new ReplicaSet(nextVoters, nextLearners);
    }
}
