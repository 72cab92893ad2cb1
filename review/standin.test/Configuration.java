/** The operator's configuration of the cases, in the format of the pages. */
final class Configuration {
    static final String HOST = "desk.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";
    static final long TIMEOUT_MILLIS = 25_000;
    static final long ORDER_TIMEOUT_MILLIS = 2_000;

    private Configuration() {}

    /**
     * Returns a configuration with a service of model replicas, one of orders and lookups, and a
     * route for each kind of request.
     */
    static String of(long version) {
        return """
        {"version":%d,"routes":[
        {"name":"report","host":"%s","pathPrefix":"/report/","kind":"streaming","timeoutMs":%d,
         "targetLatencyMs":4000,"targetGapMs":700,"priority":0,"service":"llm","maxAttempts":5,
         "anonymous":false,"sticky":true,"resumable":false},
        {"name":"upload","host":"%s","pathPrefix":"/upload/","kind":"unsafe","timeoutMs":%d,
         "targetLatencyMs":4000,"priority":2,"service":"app","maxAttempts":3,"anonymous":false},
        {"name":"order","host":"%s","pathPrefix":"/order/","kind":"unsafe","timeoutMs":%d,
         "targetLatencyMs":1000,"priority":2,"service":"app","maxAttempts":3,"anonymous":false},
        {"name":"stock","host":"%s","pathPrefix":"/stock/","kind":"safe","timeoutMs":5000,
         "targetLatencyMs":1000,"priority":2,"service":"app","maxAttempts":3,"anonymous":false}],
        "services":[
        {"name":"llm","healthCheck":"/health","maxConnections":360,"protocol":"h1","tls":false,
         "engine":{"slots":64,"kvCapacityTokens":88000,"kvTokenBytes":163840,
         "linkMbps":1100000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,
         "holdMs":2000.0,"handleS":4.0,"models":[{"name":"m"}]}},
        {"name":"app","healthCheck":"/health","maxConnections":360,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
         "idleTimeoutMs":15000},
        "tenants":[{"name":"huka270","apiKeys":["%s"],"priority":1}]}
        """
                .formatted(
                        version,
                        HOST,
                        TIMEOUT_MILLIS,
                        HOST,
                        TIMEOUT_MILLIS,
                        HOST,
                        ORDER_TIMEOUT_MILLIS,
                        HOST,
                        KEY);
    }

    /** Returns the head of a client's request, up to the empty line. */
    static String requestHead(String method, String path, String id, long deadlineMillis, int size) {
        return """
        %s %s HTTP/1.1\r
        Host: %s\r
        X-Request-Id: %s\r
        X-Request-Deadline-Ms: %d\r
        Authorization: Bearer %s\r
        """
                        .formatted(method, path, HOST, id, deadlineMillis, KEY)
                + (size > 0 || !method.equals("GET") ? "Content-Length: " + size + "\r\n" : "");
    }
}
