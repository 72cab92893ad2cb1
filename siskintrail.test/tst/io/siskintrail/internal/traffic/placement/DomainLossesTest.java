package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Streams must not try one dead engine of a lost failure domain after the other. */
class DomainLossesTest {
    private static final FailureDomain DOMAIN = new FailureDomain("a");
    private final DomainLosses losses = new DomainLosses();

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 250", "3, 1000", "20, 1000"})
    void domainIsAvoidedForLongerWhenSeveralEnginesAreLost(int engines, long expectedMillis) {
        long avoidedMillis = 0;
        for (int i = 0; i < engines; i++) {
            avoidedMillis = losses.recordLoss(DOMAIN, new EndpointId("e" + i), 10 + i);
        }

        assertThat(avoidedMillis).isEqualTo(expectedMillis);
    }

    /** An engine that many hosts report is still a single one. */
    @Test
    void repeatedReportsOfOneEngineAreOneLoss() {
        for (int i = 0; i < 50; i++) {
            assertThat(losses.recordLoss(DOMAIN, new EndpointId("e"), i)).isEqualTo(0);
        }
    }

    @Test
    void lossesOfOtherDomainsAndOfEarlierTimesDoNotCount() {
        losses.recordLoss(new FailureDomain("b"), new EndpointId("e1"), 1_000);
        losses.recordLoss(DOMAIN, new EndpointId("e2"), 1_000);
        losses.recordLoss(DOMAIN, new EndpointId("e3"), 1_401);

        assertThat(losses.recordLoss(DOMAIN, new EndpointId("e4"), 1_500)).isEqualTo(250);
    }
}
