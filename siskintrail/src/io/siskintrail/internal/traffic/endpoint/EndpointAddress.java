package io.siskintrail.internal.traffic.endpoint;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks addresses of endpoints. Only literal IP addresses are valid: to resolve a host name would
 * block the event loop.
 */
public final class EndpointAddress {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final int IPV6_GROUPS = 8;
    private static final Pattern IPV4_PORT =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern IPV6_PORT = Pattern.compile("\\[([0-9a-fA-F:]{2,39})]:(\\d{1,5})");
    private static final Pattern IPV6_GROUP = Pattern.compile("[0-9a-fA-F]{1,4}");

    private EndpointAddress() {}

    /**
     * Validates {@code text}.
     *
     * @throws IllegalArgumentException if it is not an IPv4 address, or an IPv6 address in
     *     brackets, with a port from 1 to 65535
     */
    public static void validate(String text) {
        if (!isIpv4(text) && !isIpv6(text)) {
            throw new IllegalArgumentException("endpoint address is not ip:port");
        }
    }

    private static boolean isIpv4(String text) {
        Matcher matcher = IPV4_PORT.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        for (int i = 1; i < matcher.groupCount(); i++) {
            if (Integer.parseInt(matcher.group(i)) > MAX_OCTET) {
                return false;
            }
        }
        return isPort(matcher.group(matcher.groupCount()));
    }

    private static boolean isIpv6(String text) {
        Matcher matcher = IPV6_PORT.matcher(text);
        if (!matcher.matches() || !isPort(matcher.group(2))) {
            return false;
        }
        String ip = matcher.group(1);
        int gap = ip.indexOf("::");
        if (gap < 0) {
            return countGroups(ip) == IPV6_GROUPS;
        }
        int before = countGroups(ip.substring(0, gap));
        int after = countGroups(ip.substring(gap + 2));
        return before >= 0 && after >= 0 && before + after < IPV6_GROUPS;
    }

    /** Returns the number of groups separated by colons, -1 if one of them is malformed. */
    private static int countGroups(String text) {
        if (text.isEmpty()) {
            return 0;
        }
        String[] groups = text.split(":", -1);
        for (String group : groups) {
            if (!IPV6_GROUP.matcher(group).matches()) {
                return -1;
            }
        }
        return groups.length;
    }

    private static boolean isPort(String digits) {
        int port = Integer.parseInt(digits);
        return port >= 1 && port <= MAX_PORT;
    }
}
