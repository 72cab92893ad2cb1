package io.siskintrail.internal.policy;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class PoisonDetectorTest {
    private static final Fingerprint GUILTY = new Fingerprint(1, 1);
    private static final Fingerprint BYSTANDER = new Fingerprint(2, 2);
    private static final Fingerprint OTHER = new Fingerprint(3, 3);

    private final PoisonDetector detector = new PoisonDetector();

    @Test
    void findsTheOnlyContentOfTwoDeaths() {
        die("e1", "marka", 0, GUILTY, BYSTANDER);
        die("e2", "sahab", 5_000, GUILTY, OTHER);
        assertThat(detector.judge(6_000)).containsExactly(GUILTY);
        assertThat(detector.judge(7_000)).isEmpty();
    }

    @Test
    void blamesNobodyAfterOneDeath() {
        die("e1", "marka", 0, GUILTY);
        assertThat(detector.judge(10_000)).isEmpty();
    }

    @Test
    void waitsForAThirdDeathWhenABystanderWasThereTwice() {
        die("e1", "marka", 0, GUILTY, BYSTANDER);
        die("e2", "sahab", 5_000, GUILTY, BYSTANDER);
        assertThat(detector.judge(6_000)).isEmpty();
        die("e3", "tlaa", 9_000, GUILTY, OTHER);
        assertThat(detector.judge(10_000)).containsExactly(GUILTY);
    }

    @Test
    void joinsTheReportsOfAllRouters() {
        die("e1", "marka", 0, GUILTY);
        die("e1", "marka", 100, BYSTANDER);
        die("e2", "sahab", 5_000, GUILTY);
        die("e2", "sahab", 5_100, BYSTANDER);
        assertThat(detector.judge(6_000)).isEmpty();
    }

    @Test
    void blamesNobodyForTheLossOfARack() {
        for (int i = 0; i < 4; i++) {
            die("e" + i, "marka", i * 100, BYSTANDER);
        }
        assertThat(detector.judge(5_000)).isEmpty();
    }

    @Test
    void releasesContentAfterAWhile() {
        die("e1", "marka", 0, GUILTY);
        die("e2", "sahab", 5_000, GUILTY);
        detector.judge(6_000);
        long end = 6_000 + PoisonDetector.QUARANTINE_MILLIS;
        assertThat(detector.release(end - 1)).isEmpty();
        assertThat(detector.release(end)).containsExactly(GUILTY);
    }

    private void die(String endpoint, String domain, long at, Fingerprint... running) {
        detector.report(
                at, new EndpointId(endpoint), 1, new FailureDomain(domain), Arrays.asList(running));
    }
}
