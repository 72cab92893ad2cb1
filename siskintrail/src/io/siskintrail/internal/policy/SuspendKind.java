package io.siskintrail.internal.policy;

/** Kind of suspension: which running generations may be suspended for which waiting work. */
public enum SuspendKind {
    /** Any bulk generation, for urgent work. */
    BULK,
    /**
     * An urgent generation of an account far over its share, for urgent work of another account.
     */
    URGENT_OVER_SHARE,
    /** A bulk generation of an account far over its share, for bulk work of another account. */
    BULK_OVER_SHARE
}
