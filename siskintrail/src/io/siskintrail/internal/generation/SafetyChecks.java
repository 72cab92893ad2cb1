package io.siskintrail.internal.generation;

/**
 * The four checks (attempt, offset, acknowledgement and fencing) that prevent lost, repeated or
 * mixed tokens. Tests override single checks to prove that the test oracle detects their absence.
 */
class SafetyChecks {

    /** Relation of a chunk to the journal. */
    enum ChunkFit {
        ACCEPT,
        GAP,
        MISMATCH
    }

    /** Returns whether a chunk of {@code attempt} is accepted while {@code current} runs. */
    boolean isCurrentAttempt(int attempt, int current) {
        return attempt == current;
    }

    /** Returns whether a chunk starts within the journal and agrees with its tokens. */
    ChunkFit classifyChunk(Journal journal, int offset, TokenRun run) {
        if (offset > journal.length()) {
            return ChunkFit.GAP;
        }
        return journal.matches(offset, run) ? ChunkFit.ACCEPT : ChunkFit.MISMATCH;
    }

    /** Returns the tokens of an accepted run that the journal does not have yet. */
    TokenRun newTokens(Journal journal, int offset, TokenRun run) {
        return run.from(Math.min(run.size(), journal.length() - offset));
    }

    /** Returns the number of tokens that may be delivered to callers. */
    int deliverableTokens(int acknowledged, int journalLength) {
        return Math.min(acknowledged, journalLength);
    }

    /** Returns whether a message of epoch {@code incoming} is stale and must be refused. */
    boolean isFenced(OwnerEpoch known, OwnerEpoch incoming) {
        return known.fences(incoming);
    }
}
