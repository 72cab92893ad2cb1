package io.siskintrail.internal.consensus;

/**
 * The rules that the safety of the log rests on, each by itself. Tests replace one at a time to
 * show that their oracle notices.
 */
class SafetyRules {

    /** Returns whether a message waits until what was stored before it is durable. */
    boolean waitsForSync(ConsensusMessage message) {
        return true;
    }

    /** Returns whether a majority that holds an entry of {@code entryTerm} commits it. */
    boolean mayCommit(long entryTerm, long currentTerm) {
        return entryTerm == currentTerm;
    }

    /** Returns whether a vote is withheld because the leader was heard of a moment ago. */
    boolean withholdsVote(long silentMillis, long electionMillis) {
        return silentMillis < electionMillis;
    }

    /** Returns whether a candidate whose log ends at {@code candidate} may get a vote. */
    boolean upToDate(long candidateTerm, long candidateIndex, long ownTerm, long ownIndex) {
        return candidateTerm > ownTerm || (candidateTerm == ownTerm && candidateIndex >= ownIndex);
    }

    /** Returns whether the entry before the first new one must match. */
    boolean checksPrevious() {
        return true;
    }

    /** Returns whether a change of the replica set waits for the one before it. */
    boolean oneChangeAtATime() {
        return true;
    }

    /** Returns whether a replica counts its start as hearing of the leader. */
    boolean waitsAfterStart() {
        return true;
    }
}
