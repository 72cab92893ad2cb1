package io.siskintrail.internal.traffic.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates outages in which attempts fail: retries stay within the budget of every window. */
class RetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final int STEP_MILLIS = 100;
    private static final int STEPS = 600;

    @ParameterizedTest
    @CsvSource({"0.2, 20, 5", "0.8, 20, 50", "0.2, 5, 200"})
    void retriesStayWithinBudget(double ratio, double reserve, int requestsPerSecond) {
        RetryBudget budget = new RetryBudget(ratio, WINDOW_MILLIS);
        int requests = 10 * requestsPerSecond;
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            long now = i * WINDOW_MILLIS / requests;
            budget.recordRequest(now);
            while (budget.tryAcquire(now, reserve)) {
                retries++;
            }
        }

        assertThat((double) retries).isAtMost(ratio * requests + reserve);
        assertThat(retries).isAtLeast((int) (ratio * requests));
    }

    @ParameterizedTest
    @CsvSource({"1, 0.8, 20", "2, 0.8, 2", "3, 0.2, 150", "4, 0.8, 0.5"})
    void noWindowExceedsBudgetOfItsRequests(long seed, double ratio, double reserve) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryBudget budget = new RetryBudget(ratio, WINDOW_MILLIS);
        int[] requests = new int[STEPS];
        int[] retries = new int[STEPS];
        int requestsPerStep = 0;
        for (int i = 0; i < STEPS; i++) {
            requestsPerStep = random.nextInt(20) == 0 ? random.nextInt(30) : requestsPerStep;
            for (int r = 0; r < requestsPerStep; r++) {
                budget.recordRequest(i * (long) STEP_MILLIS);
                requests[i]++;
            }
            while (random.nextInt(4) > 0 && budget.tryAcquire(i * (long) STEP_MILLIS, reserve)) {
                retries[i]++;
            }
        }

        int windowSteps = (int) (WINDOW_MILLIS / STEP_MILLIS);
        for (int start = windowSteps; start + windowSteps < STEPS; start++) {
            int inWindow = sum(requests, start, windowSteps);
            int inPreviousWindow = sum(requests, start - windowSteps, windowSteps);
            int halfWindowEarlier = sum(requests, start - windowSteps / 2, windowSteps);
            double allowed =
                    ratio * Math.max(inWindow, Math.max(inPreviousWindow, halfWindowEarlier))
                            + reserve;
            assertThat((double) sum(retries, start, windowSteps)).isAtMost(allowed);
        }
    }

    @Test
    void budgetIsRestoredAfterWindow() {
        RetryBudget budget = new RetryBudget(0.5, WINDOW_MILLIS);
        budget.recordRequest(0);
        budget.recordRequest(0);

        assertThat(budget.tryAcquire(0, 0)).isTrue();
        assertThat(budget.tryAcquire(0, 0)).isFalse();
        assertThat(budget.tryAcquire(WINDOW_MILLIS - 1, 1)).isTrue();
        assertThat(budget.tryAcquire(3 * WINDOW_MILLIS, 0)).isFalse();
        assertThat(budget.tryAcquire(3 * WINDOW_MILLIS, 1)).isTrue();
    }

    private static int sum(int[] counts, int from, int length) {
        int sum = 0;
        for (int i = from; i < from + length; i++) {
            sum += counts[i];
        }
        return sum;
    }
}
