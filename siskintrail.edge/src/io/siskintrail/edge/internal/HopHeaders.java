package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Removes the headers that concern only one connection. */
final class HopHeaders {
    private static final Set<String> ALWAYS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private HopHeaders() {}

    /** Returns a copy of {@code headers} without those of the connection and of framing. */
    static HttpHeaders without(HttpHeaders headers) {
        Set<String> named = new TreeSet<>();
        List<String> connection = headers.getAll(HttpHeaderNames.CONNECTION);
        for (String value : connection) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders kept = new DefaultHttpHeaders();
        for (Map.Entry<String, String> e : headers) {
            String name = e.getKey().toLowerCase(Locale.ROOT);
            if (!ALWAYS.contains(name) && !named.contains(name)) {
                kept.add(e.getKey(), e.getValue());
            }
        }
        return kept;
    }
}
