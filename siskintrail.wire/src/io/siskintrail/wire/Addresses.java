package io.siskintrail.wire;

import java.net.InetSocketAddress;

/** Reads {@code ip:port} pairs of the settings. */
public final class Addresses {

    private Addresses() {}

    /** Returns the address that {@code text} names; IPv6 numbers stand in brackets. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, colon);
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }
}
