package io.siskintrail.net;

import io.siskintrail.lib.HostId;
import java.net.InetSocketAddress;

/** Reads {@code ip:port} texts. Hosts of a registry are named by the address of their links. */
public final class HostAddress {

    private HostAddress() {}

    /**
     * Returns the socket address in {@code text}.
     *
     * @throws IllegalArgumentException when it is not {@code ip:port}
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address %s is not ip:port".formatted(text));
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Returns the socket address that {@code host} names. */
    public static InetSocketAddress of(HostId host) {
        return parse(host.value());
    }
}
