package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates bursts on the queue: which requests wait, overtake others or are rejected. */
class WaitingRoomTest {
    private static final long NO_DEADLINE = Long.MAX_VALUE / 2;
    private final WaitingRoom<String> queue = new WaitingRoom<>(new ReleaseRate(4));

    @Test
    void urgentRequestOvertakesWaitingRequests() {
        queue.tryEnqueue(0, "bulk-1", 2, NO_DEADLINE);
        queue.tryEnqueue(0, "bulk-2", 2, NO_DEADLINE);
        queue.tryEnqueue(0, "urgent", 0, NO_DEADLINE);

        assertThat(queue.peekFirst()).isEqualTo("urgent");
        queue.removeFirst();
        assertThat(queue.peekFirst()).isEqualTo("bulk-1");
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 4, 10})
    void burstIsRejectedOnArrival(int overloadFactor) {
        int waiting = 0;
        int rejected = 0;
        for (int i = 0; i < 40 * overloadFactor; i++) {
            long now = 25L * i / overloadFactor;
            if (queue.tryEnqueue(now, "r" + i, 2, now + 2_000) == null) {
                rejected++;
            } else {
                waiting++;
            }
        }

        assertThat(waiting).isAtMost(8);
        assertThat(rejected).isAtLeast(40 * overloadFactor - 8);
    }

    @Test
    void forecastFollowsReleaseRate() {
        double before = queue.expectedWaitMillis(0, 0);
        for (int i = 0; i < 100; i++) {
            queue.recordRelease(50L * i);
        }

        assertThat(queue.expectedWaitMillis(5_000, 0)).isLessThan(before / 2);
    }

    /** When a failure domain fails while requests wait, earlier forecasts are too optimistic. */
    @Test
    void lastInQueueIsRejectedWhenReleasesStop() {
        for (int i = 0; i < 60; i++) {
            queue.recordRelease(50L * i);
        }
        for (int i = 1; i <= 10; i++) {
            assertThat(queue.tryEnqueue(3_000, "r" + i, 2, 4_000)).isNotNull();
        }

        assertThat(queue.removeTooLate(3_100)).isEmpty();
        assertThat(queue.removeTooLate(3_800)).contains("r10");
        assertThat(queue.peekFirst()).isEqualTo("r1");
    }

    /** A single request waits although no slot has become free that the forecast could build on. */
    @Test
    void headOfQueueWaitsUntilLatestStart() {
        WaitingRoom<String> idleQueue = new WaitingRoom<>(new ReleaseRate(4));
        idleQueue.tryEnqueue(0, "r", 2, 1_000);
        idleQueue.recordRelease(0);

        assertThat(idleQueue.removeTooLate(990)).isEmpty();
        assertThat(idleQueue.removeTooLate(1_000)).containsExactly("r");
    }

    @Test
    void requestPastLatestStartIsRemoved() {
        queue.tryEnqueue(0, "r", 2, 1_000);

        assertThat(queue.removeTooLate(500)).isEmpty();
        assertThat(queue.removeTooLate(1_000)).containsExactly("r");
        assertThat(queue.size()).isEqualTo(0);
    }
}
