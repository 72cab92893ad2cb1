package io.siskintrail.internal.generation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Holds the tokens of a generation so far, its outcome once it ended, and which owner epoch wrote
 * which part. Two journals that share an epoch agree on every token up to the shorter end of that
 * epoch's segment.
 */
final class Journal {
    private static final int INITIAL_TOKENS = 64;

    private final StringBuilder text = new StringBuilder();
    private final List<Segment> lineage = new ArrayList<>();
    private int[] tokenIds = new int[INITIAL_TOKENS];
    private int[] textEnds = new int[INITIAL_TOKENS];
    private int length;
    private Outcome outcome;

    int length() {
        return length;
    }

    /** Returns how the generation ended, null while it runs. */
    Outcome outcome() {
        return outcome;
    }

    void setOutcome(Outcome newOutcome) {
        outcome = newOutcome;
    }

    List<Segment> lineage() {
        return List.copyOf(lineage);
    }

    void startEpoch(OwnerEpoch epoch) {
        lineage.add(new Segment(epoch, length));
    }

    /** Replaces the lineage by that of the journal that this one is a copy of. */
    void copyLineage(List<Segment> segments) {
        lineage.clear();
        lineage.addAll(segments);
    }

    void append(TokenRun run) {
        int size = run.size();
        ensureCapacity(length + size);
        int base = text.length();
        text.append(run.text());
        for (int i = 0; i < size; i++) {
            tokenIds[length + i] = run.id(i);
            textEnds[length + i] = base + run.end(i);
        }
        length += size;
    }

    /** Discards the tokens from offset {@code newLength} on. */
    void truncate(int newLength) {
        length = newLength;
        text.setLength(textStart(newLength));
    }

    /** Returns the tokens from {@code from} (inclusive) to {@code to} (exclusive). */
    TokenRun run(int from, int to) {
        if (from >= to) {
            return TokenRun.EMPTY;
        }
        int base = textStart(from);
        int[] runEnds = Arrays.copyOfRange(textEnds, from, to);
        for (int i = 0; i < runEnds.length; i++) {
            runEnds[i] -= base;
        }
        String runText = text.substring(base, textEnds[to - 1]);
        return TokenRun.of(Arrays.copyOfRange(tokenIds, from, to), runText, runEnds);
    }

    /** Returns whether the part of {@code run} that overlaps this journal has the same tokens. */
    boolean matches(int offset, TokenRun run) {
        int overlap = Math.min(run.size(), length - offset);
        for (int i = 0; i < overlap; i++) {
            if (tokenIds[offset + i] != run.id(i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the first {@code offset} tokens are guaranteed to equal those of the journal
     * that {@code epoch} wrote.
     */
    boolean sharesPrefix(OwnerEpoch epoch, int offset) {
        if (offset == 0) {
            return true;
        }
        for (int i = 0; i < lineage.size(); i++) {
            if (lineage.get(i).epoch().equals(epoch)) {
                int end = i + 1 < lineage.size() ? lineage.get(i + 1).start() : length;
                return offset <= end;
            }
        }
        return false;
    }

    private int textStart(int index) {
        return index == 0 ? 0 : textEnds[index - 1];
    }

    private void ensureCapacity(int tokens) {
        if (tokens > tokenIds.length) {
            int capacity = Math.max(tokens, tokenIds.length * 2);
            tokenIds = Arrays.copyOf(tokenIds, capacity);
            textEnds = Arrays.copyOf(textEnds, capacity);
        }
    }
}
