package io.siskintrail.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.policy.PolicyMessage;
import io.siskintrail.internal.policy.PolicyMessage.GrantedSlots;
import io.siskintrail.internal.policy.PolicyMessage.HeldSlots;
import io.siskintrail.internal.policy.PolicyMessage.PoolState;
import io.siskintrail.internal.policy.PolicyMessage.UsageEntry;
import io.siskintrail.internal.policy.PolicyMessage.WaitingWork;
import io.siskintrail.internal.policy.SuspensionCounts;
import io.siskintrail.internal.policy.Target;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Rank;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PolicyCodecTest {
    private static final AccountId ACCOUNT = new AccountId("clinic");
    private static final EndpointId ENDPOINT = new EndpointId("e1");
    private static final Target TARGET = new Target("model:m@1");

    static Stream<PolicyMessage> messages() {
        return Stream.of(
                new PolicyMessage.Usage(
                        7, 8, List.of(new UsageEntry(ACCOUNT, Rank.BULK, 1.5, 3, 2, 1))),
                new PolicyMessage.Claim(
                        "pool",
                        1,
                        2,
                        3,
                        new SuspensionCounts(4, 5, 6),
                        7,
                        List.of(new HeldSlots(ENDPOINT, 3, 2, 1)),
                        List.of(
                                new WaitingWork(Rank.URGENT, ACCOUNT, TARGET, 4, ENDPOINT),
                                new WaitingWork(Rank.BULK, ACCOUNT, TARGET, 1, null))),
                new PolicyMessage.Grant(
                        "pool",
                        1,
                        2,
                        1_000,
                        List.of(new GrantedSlots(ENDPOINT, 3)),
                        4,
                        new PoolState(8, 1, 2, true, false, ACCOUNT, null),
                        SuspensionCounts.NONE));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void readsWhatItWrote(PolicyMessage message) {
        assertThat(PolicyCodec.decode(PolicyCodec.encode(message))).isEqualTo(message);
    }

    @Test
    void refusesBytesThatAreNoMessage() {
        assertThrows(
                IllegalArgumentException.class, () -> PolicyCodec.decode(new byte[] {1, 2, 3}));
    }
}
