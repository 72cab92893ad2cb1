package io.siskintrail.lib;

/**
 * Identifies one generation across all of its attempts and owners.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces
 */
public record GenerationId(String value) implements Comparable<GenerationId> {

    /** Validates the text form. */
    public GenerationId {
        IdText.validate("generation id", value);
    }

    @Override
    public int compareTo(GenerationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
