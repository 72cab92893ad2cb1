package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Removes hop-by-hop headers. */
final class HopByHopHeaders {
    private static final Set<String> HOP_BY_HOP =
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

    private HopByHopHeaders() {}

    /** Returns a copy of {@code headers} without hop-by-hop and message framing headers. */
    static HttpHeaders strip(HttpHeaders headers) {
        Set<String> connectionNames = new TreeSet<>();
        List<String> connectionValues = headers.getAll(HttpHeaderNames.CONNECTION);
        for (String value : connectionValues) {
            for (String name : value.split(",")) {
                connectionNames.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders endToEnd = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionNames.contains(name)) {
                endToEnd.add(header.getKey(), header.getValue());
            }
        }
        return endToEnd;
    }
}
