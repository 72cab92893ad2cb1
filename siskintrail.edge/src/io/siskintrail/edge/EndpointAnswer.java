package io.siskintrail.edge;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status the HTTP status
 * @param requestId the request that it answers; null when it does not say
 * @param signed whether it bears the mark of an endpoint that ran the request
 * @param notRun whether the endpoint says that it did not run the request
 * @param weightVersion the version of the weights; -1 when it does not say
 */
public record EndpointAnswer(
        int status, String requestId, boolean signed, boolean notRun, long weightVersion) {

    /** Returns whether the status is one of success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
