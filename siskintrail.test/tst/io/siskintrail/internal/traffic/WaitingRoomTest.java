package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays floods on the queue: who waits, who passes, who is turned away when it comes. */
class WaitingRoomTest {
    private static final long NEVER = Long.MAX_VALUE / 2;
    private final WaitingRoom<String> room = new WaitingRoom<>(new ReleaseRate(4));

    @Test
    void urgentWorkPassesWorkThatWaits() {
        room.enter(0, "bulk-1", 2, NEVER);
        room.enter(0, "bulk-2", 2, NEVER);
        room.enter(0, "urgent", 0, NEVER);

        assertThat(room.first()).isEqualTo("urgent");
        room.removeFirst();
        assertThat(room.first()).isEqualTo("bulk-1");
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 4, 10})
    void floodIsTurnedAwayWhenItComes(int timesCapacity) {
        int waiting = 0;
        int refused = 0;
        for (int i = 0; i < 40 * timesCapacity; i++) {
            long now = 25L * i / timesCapacity;
            if (room.enter(now, "r" + i, 2, now + 2_000) == null) {
                refused++;
            } else {
                waiting++;
            }
        }

        assertThat(waiting).isAtMost(8);
        assertThat(refused).isAtLeast(40 * timesCapacity - 8);
    }

    @Test
    void forecastFollowsTheRateOfReleases() {
        double before = room.forecastMillis(0, 0);
        for (int i = 0; i < 100; i++) {
            room.released(50L * i);
        }

        assertThat(room.forecastMillis(5_000, 0)).isLessThan(before / 2);
    }

    /** Engines of a failure domain end while requests wait: what was forecast no longer holds. */
    @Test
    void lastInLineIsTurnedAwayWhenRoomStopsToBecomeFree() {
        for (int i = 0; i < 60; i++) {
            room.released(50L * i);
        }
        for (int i = 1; i <= 10; i++) {
            assertThat(room.enter(3_000, "r" + i, 2, 4_000)).isNotNull();
        }

        assertThat(room.removeHopeless(3_100)).isEmpty();
        assertThat(room.removeHopeless(3_800)).contains("r10");
        assertThat(room.first()).isEqualTo("r1");
    }

    /** A single request waits for room that nobody has seen becoming free yet. */
    @Test
    void firstInLineWaitsUntilItsLatestStart() {
        WaitingRoom<String> quiet = new WaitingRoom<>(new ReleaseRate(4));
        quiet.enter(0, "r", 2, 1_000);
        quiet.released(0);

        assertThat(quiet.removeHopeless(990)).isEmpty();
        assertThat(quiet.removeHopeless(1_000)).containsExactly("r");
    }

    @Test
    void noMoreHopeIsNoticed() {
        room.enter(0, "r", 2, 1_000);

        assertThat(room.removeHopeless(500)).isEmpty();
        assertThat(room.removeHopeless(1_000)).containsExactly("r");
        assertThat(room.size()).isEqualTo(0);
    }
}
