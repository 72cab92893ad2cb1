package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.HostId;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

/** Replays of rolling restarts in which clients with one retry ask for streams. */
class DrainingHostsTest {
    private static final int HOSTS = 8;
    private static final long DRAIN_MILLIS = 6_800;
    private static final long ROLL_END_MILLIS = 15_000;

    private final SplittableRandom random = new SplittableRandom(1);

    /** Load pattern: eight hosts stop 0.4 s apart, each drains for several seconds. */
    @Test
    void clientsAreServedAlthoughAllHostsDrainAtOnce() {
        // those turned away before the later hosts have stopped still return too early
        assertThat(countLost(400, now -> DrainingHosts.SERVED_ELSEWHERE_MILLIS)).isAtLeast(300);
        assertThat(countLost(400, retryAfter(400))).isAtMost(100);
    }

    /** Load pattern: one host after the other, so that most of them serve all the time. */
    @Test
    void clientsComeBackAtOnceWhileMostHostsServe() {
        DrainingHosts hosts = new DrainingHosts();
        hosts.recordDraining(host(0), 1_000, DRAIN_MILLIS);
        hosts.recordDraining(host(1), 2_000, DRAIN_MILLIS);
        assertThat(hosts.retryAfterMillis(3_000, HOSTS)).isEqualTo(10);
    }

    @Test
    void hostThatEndedEarlyReturnsEarly() {
        DrainingHosts hosts = new DrainingHosts();
        hosts.recordDraining(host(0), 1_000, DRAIN_MILLIS);
        assertThat(hosts.retryAfterMillis(1_000, 1))
                .isEqualTo(DRAIN_MILLIS + DrainingHosts.RESTART_MILLIS);
        hosts.recordEnded(host(0), 2_000);
        assertThat(hosts.retryAfterMillis(2_000, 1)).isEqualTo(DrainingHosts.RESTART_MILLIS);
        assertThat(hosts.retryAfterMillis(3_000, 1)).isEqualTo(10);
        hosts.recordEnded(host(1), 3_000);
        assertThat(hosts.retryAfterMillis(3_000, 1)).isEqualTo(10);
    }

    /** Returns what the hosts of a roll tell their clients. */
    private static LongUnaryOperator retryAfter(long intervalMillis) {
        DrainingHosts hosts = new DrainingHosts();
        boolean[] known = new boolean[HOSTS];
        return now -> {
            for (int i = 0; i < HOSTS; i++) {
                if (!known[i] && now >= stopAt(i, intervalMillis)) {
                    known[i] = true;
                    hosts.recordDraining(host(i), stopAt(i, intervalMillis), DRAIN_MILLIS);
                }
            }
            return hosts.retryAfterMillis(now, HOSTS);
        };
    }

    /** Returns how many of the clients that arrive every 10 ms are turned away twice. */
    private int countLost(long intervalMillis, LongUnaryOperator retryAfter) {
        int lost = 0;
        for (long now = 0; now < ROLL_END_MILLIS; now += 10) {
            if (meetsDrainingHost(now, intervalMillis)) {
                long again = now + retryAfter.applyAsLong(now);
                lost += meetsDrainingHost(again, intervalMillis) ? 1 : 0;
            }
        }
        return lost;
    }

    /** The balancer keeps clients away from draining hosts while half of the hosts serve. */
    private boolean meetsDrainingHost(long now, long intervalMillis) {
        int draining = 0;
        for (int i = 0; i < HOSTS; i++) {
            draining += isDraining(i, now, intervalMillis) ? 1 : 0;
        }
        return draining > HOSTS / 2 && isDraining(random.nextInt(HOSTS), now, intervalMillis);
    }

    private static boolean isDraining(int host, long now, long intervalMillis) {
        long stop = stopAt(host, intervalMillis);
        return now >= stop && now < stop + DRAIN_MILLIS + DrainingHosts.RESTART_MILLIS;
    }

    private static long stopAt(int host, long intervalMillis) {
        return 1_000 + host * intervalMillis;
    }

    private static HostId host(int index) {
        return new HostId("h" + index);
    }
}
