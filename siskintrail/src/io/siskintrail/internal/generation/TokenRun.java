package io.siskintrail.internal.generation;

import java.util.Arrays;

/** Immutable sequence of consecutive tokens with their ids and text. */
public final class TokenRun {
    /** The run without tokens. */
    public static final TokenRun EMPTY = new TokenRun(new int[0], "", new int[0]);

    private final int[] ids;
    private final String text;
    private final int[] ends;

    private TokenRun(int[] ids, String text, int[] ends) {
        this.ids = ids;
        this.text = text;
        this.ends = ends;
    }

    /**
     * Creates a run; takes ownership of the arrays.
     *
     * @param ids the token ids
     * @param text the text of all tokens
     * @param ends for each token, the index in {@code text} after its last character
     * @throws IllegalArgumentException when the lengths of the arrays differ, or when {@code ends}
     *     decreases or does not end at the length of the text
     */
    public static TokenRun of(int[] ids, String text, int[] ends) {
        boolean fits = ids.length == ends.length;
        int last = 0;
        for (int end : ends) {
            fits = fits && end >= last;
            last = end;
        }
        if (!fits || last != text.length()) {
            throw new IllegalArgumentException("token ids, text and token ends are inconsistent");
        }
        return new TokenRun(ids, text, ends);
    }

    /** Creates a run of one token. */
    public static TokenRun single(int id, String text) {
        return new TokenRun(new int[] {id}, text, new int[] {text.length()});
    }

    /** Returns the number of tokens. */
    public int size() {
        return ids.length;
    }

    /** Returns whether the run has no tokens. */
    public boolean isEmpty() {
        return ids.length == 0;
    }

    /** Returns the id of the token at {@code index}. */
    public int id(int index) {
        return ids[index];
    }

    /** Returns the text of the token at {@code index}. */
    public String text(int index) {
        return text.substring(start(index), ends[index]);
    }

    /** Returns the text of all tokens. */
    public String text() {
        return text;
    }

    /** Returns the index in {@link #text()} after the last character of the token. */
    public int end(int index) {
        return ends[index];
    }

    /** Returns the tokens from {@code from} to the end. */
    public TokenRun from(int from) {
        if (from == 0) {
            return this;
        }
        int skipped = start(from);
        int[] restEnds = Arrays.copyOfRange(ends, from, ends.length);
        for (int i = 0; i < restEnds.length; i++) {
            restEnds[i] -= skipped;
        }
        return new TokenRun(
                Arrays.copyOfRange(ids, from, ids.length), text.substring(skipped), restEnds);
    }

    private int start(int index) {
        return index == 0 ? 0 : ends[index - 1];
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TokenRun run
                && Arrays.equals(ids, run.ids)
                && Arrays.equals(ends, run.ends)
                && text.equals(run.text);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(ids);
    }

    @Override
    public String toString() {
        return "TokenRun" + Arrays.toString(ids);
    }
}
