package io.siskintrail.internal.traffic;

/**
 * Identifies one part of a prompt, which several requests may share.
 *
 * @param value the id as sent by the client
 */
public record PromptPart(String value) {
    /** Maximum length in characters, bounded because hosts remember the parts of crashes. */
    private static final int MAX_LENGTH = 64;

    /** Returns the part {@code text}, or null when it is null, empty or longer than 64. */
    public static PromptPart ofNullable(String text) {
        boolean accepted = text != null && !text.isEmpty() && text.length() <= MAX_LENGTH;
        return accepted ? new PromptPart(text) : null;
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptPart that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
