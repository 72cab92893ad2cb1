package io.siskintrail.service;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Where the HTTP server of a program listens.
 *
 * @param ip an IP number
 * @param port the port; 0 takes a free one
 */
public record HttpAddress(String ip, int port) {
    private static final int ANY_PORT = -1;

    /** Reads {@code ip:port}. */
    public static HttpAddress parse(String text) {
        InetSocketAddress address = Addresses.parse(text);
        return new HttpAddress(address.getHostString(), address.getPort());
    }

    /** Returns {@code ip:port} with the port that the server took. */
    public String at(int actualPort) {
        return ip + ":" + actualPort;
    }

    /**
     * Returns the properties of the HTTP server of a program that has no others than these. Only
     * the controllers of that program are served.
     *
     * @param program {@code router} or {@code control}
     * @param maxBodyBytes the longest body of a request
     */
    public Map<String, Object> serverProperties(String program, int maxBodyBytes) {
        Map<String, Object> properties = new HashMap<>();
        properties.put("siskintrail.program", program);
        properties.put("micronaut.application.name", "siskintrail-" + program);
        properties.put("micronaut.server.host", ip);
        properties.put("micronaut.server.port", port == 0 ? ANY_PORT : port);
        properties.put("micronaut.server.max-request-size", maxBodyBytes);
        properties.put("endpoints.all.enabled", false);
        properties.put("endpoints.prometheus.enabled", true);
        properties.put("endpoints.prometheus.sensitive", false);
        return properties;
    }
}
