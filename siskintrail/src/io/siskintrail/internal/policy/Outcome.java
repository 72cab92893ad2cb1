package io.siskintrail.internal.policy;

/** Says how an attempt of a request ended. */
public enum Outcome {
    /** The answer is complete. */
    DONE,
    /** The request failed by its own fault; the endpoint is well. */
    FAILED,
    /** The endpoint failed; the request may be submitted again as a recovery. */
    ENDPOINT_FAILED,
    /** The caller left or the attempt was cancelled. */
    CANCELLED
}
