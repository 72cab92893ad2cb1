package io.siskintrail.wire;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.ledger.ClaimId;
import io.siskintrail.internal.ledger.ContentDigest;
import io.siskintrail.internal.ledger.LedgerAnswer;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.internal.ledger.LedgerState;
import io.siskintrail.internal.ledger.OrderKey;
import io.siskintrail.internal.ledger.StoredAnswer;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LedgerCodecTest {
    private static final ClaimId CLAIM = new ClaimId(new HostId("h"), -7, 3);
    private static final StoredAnswer ANSWER =
            StoredAnswer.of(201, "text/plain", new byte[] {1, 0, -1});

    private final LedgerCodec codec = new LedgerCodec();

    static List<LedgerCommand> commands() {
        OrderKey k = key("k");
        return List.of(
                new LedgerCommand.Claim(k, CLAIM, new ContentDigest("00ff"), 5),
                new LedgerCommand.Dispatch(k, CLAIM, new EndpointId("e"), 2, 900),
                new LedgerCommand.Complete(k, CLAIM, 2, ANSWER),
                new LedgerCommand.MarkUnknown(k, CLAIM, 1),
                new LedgerCommand.Release(k, CLAIM, 0),
                new LedgerCommand.SettleHost(new HostId("h"), 9));
    }

    static Stream<LedgerAnswer> answers() {
        return Stream.of(
                new LedgerAnswer.Claimed(),
                new LedgerAnswer.Running(CLAIM, true),
                new LedgerAnswer.Done(ANSWER.withoutBody()),
                new LedgerAnswer.Unknown(),
                new LedgerAnswer.OtherContent(),
                new LedgerAnswer.Full(),
                new LedgerAnswer.Dispatched(4),
                new LedgerAnswer.Accepted(),
                new LedgerAnswer.Refused());
    }

    @ParameterizedTest
    @MethodSource("commands")
    void commandSurvivesEncoding(LedgerCommand command) {
        assertThat(codec.decodeCommand(codec.encodeCommand(command))).isEqualTo(command);
    }

    @ParameterizedTest
    @MethodSource("answers")
    void answerSurvivesEncoding(LedgerAnswer answer) {
        assertThat(codec.decodeAnswer(codec.encodeAnswer(answer))).isEqualTo(answer);
    }

    @Test
    void imageSurvivesEncoding() {
        LedgerState ledger = new LedgerState();
        for (int i = 0; i < commands().size() - 2; i++) {
            ledger.apply(new LogPosition(1, i + 1), 10, commands().get(i));
        }
        LedgerCommand claim =
                new LedgerCommand.Claim(key("open"), CLAIM, new ContentDigest("11"), 5);
        ledger.apply(new LogPosition(1, 9), 12, claim);
        assertThat(ledger.size()).isEqualTo(2);
        assertThat(codec.decodeImage(codec.encodeImage(ledger.image()))).isEqualTo(ledger.image());
    }

    private static OrderKey key(String key) {
        return new OrderKey(new ServiceName("s"), new AccountId("a"), new RequestKey(key));
    }
}
