package io.siskintrail.internal.generation;

/**
 * The four checks that keep tokens from being lost, repeated or mixed. Tests replace single checks
 * to show that the oracle notices.
 */
class Guards {

    /** Says what to do with a chunk. */
    enum Fit {
        TAKE,
        GAP,
        MISMATCH
    }

    /** Returns whether a chunk of {@code attempt} may be taken while {@code current} runs. */
    boolean attemptIsCurrent(int attempt, int current) {
        return attempt == current;
    }

    /** Returns whether a chunk continues the journal. */
    Fit fit(Journal journal, int offset, TokenRun run) {
        if (offset > journal.length()) {
            return Fit.GAP;
        }
        return journal.agrees(offset, run) ? Fit.TAKE : Fit.MISMATCH;
    }

    /** Returns the part of a fitting run that the journal does not have. */
    TokenRun fresh(Journal journal, int offset, TokenRun run) {
        return run.from(Math.min(run.size(), journal.length() - offset));
    }

    /** Returns how many tokens callers may see. */
    int deliverable(int acknowledged, int journalLength) {
        return Math.min(acknowledged, journalLength);
    }

    /** Returns whether a message of epoch {@code incoming} is refused. */
    boolean isFenced(OwnerEpoch known, OwnerEpoch incoming) {
        return known.fences(incoming);
    }
}
