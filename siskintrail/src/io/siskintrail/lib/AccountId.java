package io.siskintrail.lib;

/**
 * Identifies a client account.
 *
 * @param value the text form: 1 to 200 printable ASCII characters without spaces
 */
public record AccountId(String value) implements Comparable<AccountId> {

    /** Validates the text form. */
    public AccountId {
        IdText.validate("client account id", value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AccountId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
