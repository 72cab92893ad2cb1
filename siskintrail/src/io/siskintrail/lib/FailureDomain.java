package io.siskintrail.lib;

/**
 * Identifies a failure domain: the hosts and endpoints that a single fault can make unavailable
 * together.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Validates the text form. */
    public FailureDomain {
        IdText.validate("failure domain", value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
