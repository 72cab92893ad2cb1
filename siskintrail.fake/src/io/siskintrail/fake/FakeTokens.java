package io.siskintrail.fake;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.siskintrail.lib.ModelId;
import java.util.List;
import java.util.Set;

/**
 * The right output of a fake model: each token is a function of the model version, the prompt, the
 * seed, all tokens before it, and the salt of the engine that generates it. So a wrong prefix, a
 * token of another answer and two generations mixed into one all break the chain.
 *
 * <p>Not safe for use by several threads.
 */
public final class FakeTokens {
    private static final int VOCABULARY = 50_000;

    private final String salt;
    private long state;

    /** Starts the output of engines that all generate the same for a prompt. */
    public FakeTokens(ModelId model, String prompt, long seed) {
        this(model, prompt, seed, "");
    }

    /**
     * Starts the output of one engine for a prompt.
     *
     * @param salt makes this engine's tokens differ from those of engines with other salts
     */
    public FakeTokens(ModelId model, String prompt, long seed, String salt) {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        hash.putString(model.toString());
        hash.putString(prompt);
        hash.putLong(seed);
        state = hash.getAsLong();
        this.salt = salt;
    }

    /** Returns the next token. */
    public int next() {
        int token = peek(salt);
        accept(token);
        return token;
    }

    /** Takes tokens that were generated before, as after a resumption. */
    public void skip(List<Integer> tokens) {
        tokens.forEach(this::accept);
    }

    /**
     * Returns the first offset at which no engine with one of {@code salts} can have generated the
     * token behind the tokens before it; -1 when the answer is one unbroken chain.
     */
    public static int firstBreak(
            ModelId model, String prompt, long seed, List<Integer> answer, Set<String> salts) {
        FakeTokens chain = new FakeTokens(model, prompt, seed);
        for (int i = 0; i < answer.size(); i++) {
            int token = answer.get(i);
            if (salts.stream().noneMatch(s -> chain.peek(s) == token)) {
                return i;
            }
            chain.accept(token);
        }
        return -1;
    }

    private int peek(String by) {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        hash.putLong(state);
        hash.putString(by);
        return (int) Math.floorMod(hash.getAsLong(), (long) VOCABULARY);
    }

    private void accept(int token) {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        hash.putLong(state);
        hash.putInt(token);
        state = hash.getAsLong();
    }

    /** Returns the text of a token. */
    public static String text(int token) {
        return " w" + token;
    }
}
