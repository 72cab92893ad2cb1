package io.siskintrail.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.ConfigurationAnswer;
import io.siskintrail.internal.control.ConfigurationCommand;
import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.control.ControlState;
import io.siskintrail.internal.control.FollowerEffect;
import io.siskintrail.internal.control.FollowerInput;
import io.siskintrail.internal.control.PublisherEffect;
import io.siskintrail.internal.control.PublisherInput;
import io.siskintrail.internal.control.RulesEdit;
import io.siskintrail.internal.ledger.LedgerAnswer;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ControlStateCodecTest {
    private static final HostId HOST = new HostId("h1");
    private static final HostInfo INFO =
            new HostInfo(HOST, new FailureDomain("marka"), "127.0.0.1:7000");
    private static final Configuration CONFIGURATION =
            new Configuration(
                    3, 2, "rank urgent # H: ü\n", "huda", 99, List.of(INFO), List.of(HOST));
    private static final RulesEdit EDIT =
            new RulesEdit(2, 3, "huda", 99, "ff", List.of("a"), List.of("b"), true);

    private final ControlStateCodec codec = new ControlStateCodec();

    static Stream<ControlCommand> commands() {
        return Stream.concat(
                Stream.of(
                                new ConfigurationCommand.ApplyRules(7, "x".repeat(5_000), "huda"),
                                new ConfigurationCommand.MarkInForce(4),
                                new ConfigurationCommand.SeedHosts(List.of(INFO)),
                                new ConfigurationCommand.PutHost(INFO),
                                new ConfigurationCommand.SetDraining(HOST, true),
                                new ConfigurationCommand.RemoveHost(HOST))
                        .map(ControlCommand.ToConfiguration::new),
                Stream.of(new ControlCommand.ToLedger(new LedgerCommand.SettleHost(HOST, 5))));
    }

    static Stream<ControlAnswer> answers() {
        return Stream.concat(
                Stream.of(
                                new ConfigurationAnswer.RulesApplied(2, 3),
                                new ConfigurationAnswer.NumberTaken(EDIT, 9),
                                new ConfigurationAnswer.NumberTaken(null, 9),
                                new ConfigurationAnswer.NumberUnknown(9),
                                new ConfigurationAnswer.HostsChanged(4),
                                new ConfigurationAnswer.HostsPending(4),
                                new ConfigurationAnswer.HostsRefused(),
                                new ConfigurationAnswer.Marked(4))
                        .map(ControlAnswer.FromConfiguration::new),
                Stream.of(new ControlAnswer.FromLedger(new LedgerAnswer.Claimed())));
    }

    @ParameterizedTest
    @MethodSource("commands")
    void keepsCommands(ControlCommand command) {
        assertThat(codec.decodeCommand(codec.encodeCommand(command))).isEqualTo(command);
    }

    @ParameterizedTest
    @MethodSource("answers")
    void keepsAnswers(ControlAnswer answer) {
        assertThat(codec.decodeAnswer(codec.encodeAnswer(answer))).isEqualTo(answer);
    }

    @Test
    void keepsTheImage() {
        ControlState state = new ControlState();
        commands().forEach(c -> state.apply(new LogPosition(1, 1), 50, c));
        ControlState restored = new ControlState();
        restored.restore(codec.decodeImage(codec.encodeImage(state.image())));
        assertThat(restored.image()).isEqualTo(state.image());
    }

    @Test
    void keepsMessagesAboutTheConfiguration() {
        assertThat(forFollower(CurrencyCodec.encode(new PublisherEffect.Push(HOST, CONFIGURATION))))
                .isEqualTo(new FollowerInput.Pushed(HOST, CONFIGURATION));
        assertThat(forFollower(CurrencyCodec.encode(new PublisherEffect.Answer(HOST, 8, 3, null))))
                .isEqualTo(new FollowerInput.LeaderAnswer(HOST, 8, 3, null));
        assertThat(forFollower(CurrencyCodec.encode(new FollowerEffect.AskPeer(HOST, 8, 3))))
                .isEqualTo(new FollowerInput.PeerQuestion(HOST, 8, 3));
        var answer = new FollowerEffect.AnswerPeer(HOST, 8, true, 3, CONFIGURATION);
        assertThat(forFollower(CurrencyCodec.encode(answer)))
                .isEqualTo(new FollowerInput.PeerAnswer(HOST, 8, true, 3, CONFIGURATION));
        byte[] question = CurrencyCodec.encode(new FollowerEffect.AskControl(HOST, 8, 3));
        assertThat(CurrencyCodec.decode(HOST, question))
                .isEqualTo(
                        new CurrencyCodec.Received.ForPublisher(
                                new PublisherInput.Question(HOST, 8, 3)));
    }

    private static FollowerInput forFollower(byte[] body) {
        return ((CurrencyCodec.Received.ForFollower) CurrencyCodec.decode(HOST, body)).input();
    }

    @Test
    void refusesDamagedBytes() {
        byte[] bytes = codec.encodeCommand(commands().findFirst().get());
        byte[] cut = java.util.Arrays.copyOf(bytes, bytes.length / 2);
        assertThrows(IllegalArgumentException.class, () -> codec.decodeCommand(cut));
        assertThrows(
                IllegalArgumentException.class, () -> CurrencyCodec.decode(HOST, new byte[] {0}));
    }
}
