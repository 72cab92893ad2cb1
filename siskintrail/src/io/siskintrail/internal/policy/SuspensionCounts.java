package io.siskintrail.internal.policy;

/**
 * Number of generations to suspend or that can be suspended, by {@link SuspendKind}.
 *
 * @param bulk bulk generations of any account
 * @param urgentOverShare urgent generations of accounts far over their share
 * @param bulkOverShare bulk generations of accounts far over their share
 */
public record SuspensionCounts(int bulk, int urgentOverShare, int bulkOverShare) {
    /** Zero generations of each kind. */
    public static final SuspensionCounts NONE = new SuspensionCounts(0, 0, 0);

    static SuspensionCounts of(int[] counts) {
        return new SuspensionCounts(counts[0], counts[1], counts[2]);
    }

    int of(SuspendKind kind) {
        return switch (kind) {
            case BULK -> bulk;
            case URGENT_OVER_SHARE -> urgentOverShare;
            case BULK_OVER_SHARE -> bulkOverShare;
        };
    }

    int sum() {
        return bulk + urgentOverShare + bulkOverShare;
    }

    SuspensionCounts plus(SuspensionCounts other) {
        return new SuspensionCounts(
                bulk + other.bulk,
                urgentOverShare + other.urgentOverShare,
                bulkOverShare + other.bulkOverShare);
    }

    SuspensionCounts plusOne(SuspendKind kind) {
        int[] counts = {bulk, urgentOverShare, bulkOverShare};
        counts[kind.ordinal()]++;
        return of(counts);
    }
}
