import java.nio.charset.StandardCharsets;

/** Configurations of a small shop: one service, and routes of requests that run at most once. */
final class ShopConfiguration {
    static final String HOST = "shop.example";
    static final String SERVICE = "orders";
    static final String ORDERS = "/orders/";
    static final String REPORTS = "/reports/";
    static final String TENANT = "tenant-a";
    static final String KEY = "k3y0fthecaller";

    private ShopConfiguration() {}

    /** Returns a version whose only tenant has the only key. */
    static String withTenant(int version) {
        return with(
                version,
                "{\"name\":\"%s\",\"apiKeys\":[\"%s\"],\"priority\":1}".formatted(TENANT, KEY));
    }

    /** Returns a version with the tenants given, separated by commas. */
    static String with(int version, String tenants) {
        return """
        {"version":%d,"routes":[%s,%s],
         "services":[{"name":"%s","healthCheck":"/health","maxConnections":96,"protocol":"h1","tls":false}],
         "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
         "tenants":[%s]}"""
                .formatted(
                        version,
                        route("r-orders", ORDERS, 800, 300),
                        route("r-reports", REPORTS, 20_000, 10_000),
                        SERVICE,
                        tenants);
    }

    private static String route(String name, String prefix, int timeoutMillis, int targetMillis) {
        return """
        {"name":"%s","host":"%s","pathPrefix":"%s","kind":"unsafe","timeoutMs":%d,"targetLatencyMs":%d,"priority":2,"service":"%s","maxAttempts":1,"anonymous":false}"""
                .formatted(name, HOST, prefix, timeoutMillis, targetMillis, SERVICE);
    }

    /** Returns the head of a request with a body of {@code bodyBytes}. */
    static byte[] requestHead(String prefix, String id, String key, int deadline, int bodyBytes) {
        String head =
                """
                POST %sbook HTTP/1.1\r
                Host: %s\r
                X-Request-Id: %s\r
                X-Request-Deadline-Ms: %d\r
                Authorization: Bearer %s\r
                Content-Length: %d\r
                \r
                """
                        .formatted(prefix, HOST, id, deadline, key, bodyBytes);
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }
}
