package io.siskintrail.internal.policy;

/** Result of one attempt of a request. */
public enum Outcome {
    /** The answer is complete. */
    DONE,
    /** The request itself failed; the endpoint works. */
    FAILED,
    /** The endpoint failed; the request may be submitted again as a recovery. */
    ENDPOINT_FAILED,
    /** The caller disconnected or the attempt was cancelled. */
    CANCELLED
}
