package io.siskintrail.lib;

/**
 * Version of the software that an endpoint runs.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces, or empty if the
 *     endpoint does not report its version
 */
public record EndpointVersion(String value) implements Comparable<EndpointVersion> {
    /** Version of endpoints that report none. */
    public static final EndpointVersion NONE = new EndpointVersion("");

    /** Validates the text form. */
    public EndpointVersion {
        if (value == null || !value.isEmpty()) {
            IdText.validate("version", value);
        }
    }

    /** Returns whether the endpoint reports no version. */
    public boolean isNone() {
        return value.isEmpty();
    }

    @Override
    public int compareTo(EndpointVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
