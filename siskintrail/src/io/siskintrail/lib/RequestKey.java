package io.siskintrail.lib;

/**
 * Identifies a request of one client account: the caller's idempotency key.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces
 */
public record RequestKey(String value) implements Comparable<RequestKey> {

    /** Validates the text form. */
    public RequestKey {
        IdText.validate("request key", value);
    }

    @Override
    public int compareTo(RequestKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
