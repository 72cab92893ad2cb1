package io.siskintrail.edge;

/**
 * Metadata from the head of an endpoint's response.
 *
 * @param status the HTTP status
 * @param requestId the ID of the request that this responds to; empty if absent, a list separated
 *     by commas if there are several
 * @param signed whether the response carries the signature of an endpoint that executed the request
 * @param notRun whether the endpoint says that it did not execute the request
 * @param weightVersion the version of the model weights; -1 if absent
 * @param leaving whether the endpoint says that it will shut down
 * @param retryAfterMillis for how many milliseconds the endpoint wants no requests of this host; -1
 *     if absent
 */
public record EndpointResponse(
        int status,
        String requestId,
        boolean signed,
        boolean notRun,
        long weightVersion,
        boolean leaving,
        long retryAfterMillis) {
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns whether the status is 500 or above: the endpoint failed, not the request. */
    public boolean isServerError() {
        return status >= SERVER_ERROR;
    }

    /** Returns whether the endpoint is overloaded and asks for a pause, which is no ill health. */
    public boolean pushesBack() {
        return status == SERVICE_UNAVAILABLE && retryAfterMillis >= 0;
    }
}
