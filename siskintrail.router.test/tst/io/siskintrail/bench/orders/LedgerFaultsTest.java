package io.siskintrail.bench.orders;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Runs a part of the matrix; the whole is {@code siskintrail-bench ledger-faults}. */
class LedgerFaultsTest {

    @Test
    void noOrderRunsTwiceOrIsFalselyToldNotRun() throws Exception {
        assertThat(new LedgerFaultsExperiment().run(new String[] {"--short", "true"})).isEqualTo(0);
    }
}
