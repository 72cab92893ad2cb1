package io.siskintrail.lib;

/**
 * Identifies a host: one of the machines that run the processes of this project.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces
 */
public record HostId(String value) implements Comparable<HostId> {

    /** Validates the text form. */
    public HostId {
        IdText.validate("host id", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HostId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
