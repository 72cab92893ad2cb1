package io.siskintrail.bench.promises;

import java.util.List;

/**
 * What one caller saw of one generation.
 *
 * @param prompt the prompt; its first word is unique
 * @param seed the sampling seed
 * @param wanted how many tokens a whole answer has
 * @param offsets the offset behind each event, in the order of arrival
 * @param tokens the token ids, in the order of arrival
 * @param end how it ended
 * @param code the result code of an error, 0 for none
 * @param detail what the caller saw at the end
 */
record GenerationEvidence(
        String prompt,
        long seed,
        int wanted,
        List<Integer> offsets,
        List<Integer> tokens,
        End end,
        int code,
        String detail) {

    /** How a generation ended for its caller. */
    enum End {
        /** The end of the stream was sent. */
        WHOLE,
        /** The caller was told a numbered result code. */
        TOLD,
        /** The caller was left without an answer or a result code. */
        CUT
    }

    String marker() {
        return prompt.split(" ", 2)[0];
    }
}
