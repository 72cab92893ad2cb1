package io.siskintrail.router.internal.policy;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.siskintrail.lib.ModelId;
import java.util.Arrays;

/** Hashes the blocks of a prompt, each together with all before it and with the model. */
final class PromptBlocks {
    private static final int BLOCK_WORDS = 64;
    private static final int MAX_BLOCKS = 256;

    private PromptBlocks() {}

    /** Returns the chained hashes of the whole blocks of {@code prompt}, first block first. */
    static long[] of(ModelId model, String prompt) {
        long[] out = new long[MAX_BLOCKS];
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        hash.putString(model.toString());
        int blocks = 0;
        int words = 0;
        for (int i = 0; i < prompt.length() && blocks < MAX_BLOCKS; i++) {
            hash.putChar(prompt.charAt(i));
            boolean wordEnds = prompt.charAt(i) <= ' ' && i > 0 && prompt.charAt(i - 1) > ' ';
            words += wordEnds ? 1 : 0;
            if (wordEnds && words % BLOCK_WORDS == 0) {
                out[blocks] = hash.getAsLong();
                blocks++;
            }
        }
        return Arrays.copyOf(out, blocks);
    }
}
