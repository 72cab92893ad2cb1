package io.siskintrail.internal.replicated;

/**
 * A place in the replicated log.
 *
 * @param term the term of the leader that appended the entry
 * @param index the number of the entry, from 1; 0 stands for the empty log
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {
    /** The position before the first entry. */
    public static final LogPosition ZERO = new LogPosition(0, 0);

    /** Orders by index, then by term. */
    @Override
    public int compareTo(LogPosition other) {
        int byIndex = Long.compare(index, other.index);
        return byIndex != 0 ? byIndex : Long.compare(term, other.term);
    }
}
