package io.siskintrail.lib;

/**
 * Identifies a plain service by its name in the path `/services/{name}/`.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Validates the text form. */
    public ServiceName {
        IdText.validate("service name", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
