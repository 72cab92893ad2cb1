package io.siskintrail.internal.policy;

/** Says which running generations may make room for which waiting work. */
public enum SuspendKind {
    /** Any bulk generation, for urgent work. */
    BULK,
    /** An urgent generation of an account far over its share, for urgent work of another. */
    URGENT_OVER_SHARE,
    /** A bulk generation of an account far over its share, for bulk work of another. */
    BULK_OVER_SHARE
}
