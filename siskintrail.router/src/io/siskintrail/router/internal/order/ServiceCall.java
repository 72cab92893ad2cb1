package io.siskintrail.router.internal.order;

import io.siskintrail.internal.ledger.ContentDigest;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.ServiceName;
import java.util.Map;

/**
 * A call of a plain service, as the caller sent it.
 *
 * @param account the client account
 * @param service the service
 * @param method the HTTP method in capitals
 * @param path the path below {@code /services/{name}}, beginning with a slash, without the query
 * @param query the raw query with its question mark; empty when there is none
 * @param headers the headers to pass on, by name
 * @param body the body; empty when there is none
 */
public record ServiceCall(
        AccountId account,
        ServiceName service,
        String method,
        String path,
        String query,
        Map<String, String> headers,
        byte[] body) {

    /** Returns the digest that tells equal calls from different ones. */
    ContentDigest digest() {
        return ContentDigest.of(account, method, path + query, body);
    }

    /** Returns a header by its name in any case, or null. */
    String header(String name) {
        for (Map.Entry<String, String> h : headers.entrySet()) {
            if (h.getKey().equalsIgnoreCase(name)) {
                return h.getValue();
            }
        }
        return null;
    }
}
