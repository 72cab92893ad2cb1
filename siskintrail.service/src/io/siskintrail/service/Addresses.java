package io.siskintrail.service;

import io.siskintrail.lib.HostId;
import java.net.InetSocketAddress;

/** Reads and writes {@code ip:port} texts; IPv6 numbers stand in brackets. */
public final class Addresses {

    private Addresses() {}

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

    /** Returns the socket address that names {@code host}: that of its links. */
    public static InetSocketAddress of(HostId host) {
        return parse(host.value());
    }

    /** Returns {@code address} as {@code ip:port}. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
