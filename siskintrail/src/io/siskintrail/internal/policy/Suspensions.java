package io.siskintrail.internal.policy;

/**
 * Number of generations to suspend or that can be suspended, by {@link SuspendKind}.
 *
 * @param bulk bulk generations of any account
 * @param urgentOverShare urgent generations of accounts far over their share
 * @param bulkOverShare bulk generations of accounts far over their share
 */
public record Suspensions(int bulk, int urgentOverShare, int bulkOverShare) {
    /** Zero generations of each kind. */
    public static final Suspensions NONE = new Suspensions(0, 0, 0);

    static Suspensions of(int[] counts) {
        return new Suspensions(counts[0], counts[1], counts[2]);
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

    Suspensions plus(Suspensions other) {
        return new Suspensions(
                bulk + other.bulk,
                urgentOverShare + other.urgentOverShare,
                bulkOverShare + other.bulkOverShare);
    }

    Suspensions plusOne(SuspendKind kind) {
        int[] counts = {bulk, urgentOverShare, bulkOverShare};
        counts[kind.ordinal()]++;
        return of(counts);
    }
}
