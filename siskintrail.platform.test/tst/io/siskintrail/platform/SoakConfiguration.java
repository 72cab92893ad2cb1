package io.siskintrail.platform;

/** Formats the configurations of a soak run; each version has different content. */
final class SoakConfiguration {
    private static final String TEMPLATE =
            """
            {"version":%d,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":%d,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":2},
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":600,"priority":1,"service":"app","maxAttempts":2},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":6000,"targetLatencyMs":2000,"priority":0,"service":"llm",
              "maxAttempts":4,"resumable":true,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":64,
              "kvCapacityTokens":88000,"stride":6,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private static final long BASE_TIMEOUT_MILLIS = 3_000;

    private SoakConfiguration() {}

    static String format(long version) {
        return TEMPLATE.formatted(version, BASE_TIMEOUT_MILLIS + version);
    }
}
