package io.siskintrail.internal.traffic;

/**
 * Names the part of a prompt that belongs to one request or session. A client that asks again names
 * the same part.
 *
 * @param value the name that the client gave it
 */
public record PromptId(String value) {

    @Override
    public String toString() {
        return value;
    }
}
