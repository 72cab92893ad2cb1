package io.siskintrail.fake;

import java.util.List;

/**
 * Where a fake endpoint announces itself.
 *
 * @param routers {@code ip:port} of routers; empty to announce nowhere
 * @param token the token that routers expect of endpoints
 */
public record FakeAnnouncement(List<String> routers, String token) {

    /** Copies the list. */
    public FakeAnnouncement {
        routers = List.copyOf(routers);
    }
}
