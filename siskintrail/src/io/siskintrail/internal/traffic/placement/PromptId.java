package io.siskintrail.internal.traffic.placement;

/**
 * Identifies the part of a prompt that belongs to one request or session. A client that retries
 * sends the same id.
 *
 * @param value the id as sent by the client
 */
public record PromptId(String value) {
    /** Maximum length in characters, bounded because all hosts keep the ids of many prompts. */
    private static final int MAX_LENGTH = 64;

    /** Returns the id {@code text}, or null when it is null, empty or longer than 64 characters. */
    public static PromptId ofNullable(String text) {
        boolean accepted = text != null && !text.isEmpty() && text.length() <= MAX_LENGTH;
        return accepted ? new PromptId(text) : null;
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
