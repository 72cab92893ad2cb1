package io.siskintrail.lib;

/**
 * Identifies an endpoint: an engine or a plain service that requests are routed to.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Validates the text form. */
    public EndpointId {
        IdText.validate("endpoint id", value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
