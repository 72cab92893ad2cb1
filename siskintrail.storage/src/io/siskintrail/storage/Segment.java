package io.siskintrail.storage;

/** One file of the write-ahead log and the highest index that it holds. */
final class Segment {
    static final String SUFFIX = ".log";

    private final long number;
    private long maxIndex;

    Segment(long number) {
        this.number = number;
    }

    static Segment ofName(String name) {
        String hex = name.substring(0, name.length() - SUFFIX.length());
        return new Segment(Long.parseUnsignedLong(hex, 16));
    }

    long number() {
        return number;
    }

    String name() {
        return "%016x%s".formatted(number, SUFFIX);
    }

    void holds(long index) {
        maxIndex = Math.max(maxIndex, index);
    }

    long maxIndex() {
        return maxIndex;
    }
}
