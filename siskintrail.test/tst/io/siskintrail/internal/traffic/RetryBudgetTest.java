package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays outages in which attempts fail: repeats stay within the budget of every window. */
class RetryBudgetTest {
    private static final long WINDOW = 10_000;
    private static final int STEP = 100;
    private static final int STEPS = 600;

    @ParameterizedTest
    @CsvSource({"0.2, 20, 5", "0.8, 20, 50", "0.2, 5, 200"})
    void repeatsStayWithinTheBudget(double ratio, double reserve, int requestsPerSecond) {
        RetryBudget budget = new RetryBudget(ratio, WINDOW);
        int requests = 10 * requestsPerSecond;
        int repeats = 0;
        for (int i = 0; i < requests; i++) {
            long now = i * WINDOW / requests;
            budget.requested(now);
            while (budget.tryTake(now, reserve)) {
                repeats++;
            }
        }

        assertThat((double) repeats).isAtMost(ratio * requests + reserve);
        assertThat(repeats).isAtLeast((int) (ratio * requests));
    }

    @ParameterizedTest
    @CsvSource({"1, 0.8, 20", "2, 0.8, 2", "3, 0.2, 150", "4, 0.8, 0.5"})
    void noWindowHasMoreRepeatsThanItsLoadAllows(long seed, double ratio, double reserve) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryBudget budget = new RetryBudget(ratio, WINDOW);
        int[] requests = new int[STEPS];
        int[] repeats = new int[STEPS];
        int load = 0;
        for (int i = 0; i < STEPS; i++) {
            load = random.nextInt(20) == 0 ? random.nextInt(30) : load;
            for (int r = 0; r < load; r++) {
                budget.requested(i * (long) STEP);
                requests[i]++;
            }
            while (random.nextInt(4) > 0 && budget.tryTake(i * (long) STEP, reserve)) {
                repeats[i]++;
            }
        }

        int window = (int) (WINDOW / STEP);
        for (int a = window; a + window < STEPS; a++) {
            int now = sum(requests, a, window);
            int before = sum(requests, a - window, window);
            int half = sum(requests, a - window / 2, window);
            double allowed = ratio * Math.max(now, Math.max(before, half)) + reserve;
            assertThat((double) sum(repeats, a, window)).isAtMost(allowed);
        }
    }

    @Test
    void budgetComesBackWhenTheWindowHasPassed() {
        RetryBudget budget = new RetryBudget(0.5, WINDOW);
        budget.requested(0);
        budget.requested(0);

        assertThat(budget.tryTake(0, 0)).isTrue();
        assertThat(budget.tryTake(0, 0)).isFalse();
        assertThat(budget.tryTake(WINDOW - 1, 1)).isTrue();
        assertThat(budget.tryTake(3 * WINDOW, 0)).isFalse();
        assertThat(budget.tryTake(3 * WINDOW, 1)).isTrue();
    }

    private static int sum(int[] counts, int from, int length) {
        int sum = 0;
        for (int i = from; i < from + length; i++) {
            sum += counts[i];
        }
        return sum;
    }
}
