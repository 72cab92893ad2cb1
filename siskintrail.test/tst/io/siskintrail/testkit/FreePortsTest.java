package io.siskintrail.testkit;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FreePortsTest {
    private static final int MANY = 300;

    /** A connection that is opened between the choice and the start of a server cannot take it. */
    @Test
    void portsLieBelowThoseOfOutgoingConnections() {
        for (int i = 0; i < MANY; i++) {
            assertThat(FreePorts.next()).isIn(range());
        }
    }

    @Test
    void noPortIsHandedOutTwice() {
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < MANY; i++) {
            assertThat(ports.add(FreePorts.next())).isTrue();
        }
    }

    @Test
    void portsInUseAreLeftOut() throws IOException {
        int before = FreePorts.next();
        try (ServerSocket used =
                new ServerSocket(before + 1, 1, InetAddress.getLoopbackAddress())) {
            assertThat(FreePorts.next()).isNotEqualTo(used.getLocalPort());
        }
    }

    private static Range<Integer> range() {
        return Range.closedOpen(FreePorts.FIRST, FreePorts.END);
    }
}
