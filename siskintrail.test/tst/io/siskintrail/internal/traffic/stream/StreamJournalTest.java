package io.siskintrail.internal.traffic.stream;

import static com.google.common.truth.Truth.assertThat;
import static io.siskintrail.internal.traffic.stream.StreamJournal.Verdict.DELIVER;
import static io.siskintrail.internal.traffic.stream.StreamJournal.Verdict.GAP;
import static io.siskintrail.internal.traffic.stream.StreamJournal.Verdict.REPEATED;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A client receives each event once and in order, even if attempts repeat or skip events. */
class StreamJournalTest {

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 12})
    void duplicatesAndGapsAreDetected(long first) {
        StreamJournal journal = new StreamJournal(-1);

        assertThat(journal.acceptEvent(first)).isEqualTo(DELIVER);
        assertThat(journal.acceptEvent(first + 1)).isEqualTo(DELIVER);
        assertThat(journal.acceptEvent(first)).isEqualTo(REPEATED);
        assertThat(journal.acceptEvent(first + 3)).isEqualTo(GAP);
        assertThat(journal.acceptEvent(first + 2)).isEqualTo(DELIVER);
        assertThat(journal.lastId()).isEqualTo(first + 2);
    }

    @Test
    void reconnectedClientReceivesRemainingEvents() {
        StreamJournal journal = new StreamJournal(12);

        assertThat(journal.acceptEvent(12)).isEqualTo(REPEATED);
        assertThat(journal.acceptEvent(14)).isEqualTo(GAP);
        assertThat(journal.acceptEvent(13)).isEqualTo(DELIVER);
    }
}
