package io.siskintrail.platform;

/**
 * Path of a call that says how the soak endpoint responds.
 *
 * @param delayMillis time from the arrival of the call to the response
 * @param responseBytes minimum length of the response body
 */
record SoakCallPath(long delayMillis, int responseBytes) {
    private static final int SEGMENTS_WITH_RESPONSE = 5;

    /** Reads the path of a request; a path without these numbers asks for a short response. */
    static SoakCallPath parse(String head) {
        String[] segments = head.split(" ")[1].split("/");
        if (segments.length < SEGMENTS_WITH_RESPONSE) {
            return new SoakCallPath(0, 0);
        }
        return new SoakCallPath(Long.parseLong(segments[3]), Integer.parseInt(segments[4]));
    }

    /** Returns the path of a call below the prefix of its route. */
    String format(String routePrefix, String requestId) {
        return "%s%s/%d/%d".formatted(routePrefix, requestId, delayMillis, responseBytes);
    }

    /** Returns the body of the response to the call. */
    String responseBody(String requestId) {
        String answer = "answer to " + requestId;
        return answer + ".".repeat(Math.max(0, responseBytes - answer.length()));
    }
}
