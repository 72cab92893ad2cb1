package io.siskintrail.internal.traffic.placement;

/**
 * Identifies one part of a prompt, which several requests may share.
 *
 * @param value the id of the part as sent by the client
 */
public record PromptPart(String value) {
    /** Maximum length in characters, bounded because all hosts keep the ids of many parts. */
    public static final int MAX_LENGTH = 64;

    /**
     * Returns the part {@code text}, or null when it is null, empty or longer than 64 characters.
     */
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
