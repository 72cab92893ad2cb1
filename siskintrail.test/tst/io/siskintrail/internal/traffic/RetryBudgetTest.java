package io.siskintrail.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays an outage in which every attempt fails: repeats stay within the budget of a window. */
class RetryBudgetTest {
    private static final long WINDOW = 10_000;

    @ParameterizedTest
    @CsvSource({"0.2, 20, 5", "0.8, 20, 50", "0.2, 5, 200"})
    void repeatsStayWithinTheBudget(double ratio, double reserve, int requestsPerSecond) {
        RetryBudget budget = new RetryBudget(ratio, reserve, WINDOW);
        int requests = 10 * requestsPerSecond;
        int repeats = 0;
        for (int i = 0; i < requests; i++) {
            long now = i * WINDOW / requests;
            budget.requested();
            while (budget.tryTake(now)) {
                repeats++;
            }
        }

        assertThat((double) repeats).isAtMost(ratio * requests + 2 * reserve);
        assertThat(repeats).isAtLeast((int) (ratio * requests));
    }
}
