package io.siskintrail.router.internal.filter;

import java.util.regex.Pattern;

/**
 * What a caller asks for.
 *
 * @param model the model as the caller names it: {@code model} or {@code model+adapter}
 * @param prompt the prompt as one text
 * @param maxTokens the most tokens of the answer
 * @param seed the sampling seed, null when the caller leaves it to the router
 * @param stream whether the answer is streamed
 * @param chat whether the chat form of the API was used
 */
public record CompletionCall(
        String model, String prompt, int maxTokens, Long seed, boolean stream, boolean chat) {
    private static final Pattern SPACES = Pattern.compile("\\s+");

    /** Returns the length of the prompt in words, as an estimate of its tokens. */
    public int promptTokens() {
        return (int) SPACES.splitAsStream(prompt).count();
    }
}
