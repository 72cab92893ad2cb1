package io.siskintrail.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.generation.BuddyMessage;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.GenerationSpec;
import io.siskintrail.internal.generation.Outcome;
import io.siskintrail.internal.generation.OwnerEpoch;
import io.siskintrail.internal.generation.RequestRef;
import io.siskintrail.internal.generation.Segment;
import io.siskintrail.internal.generation.TokenRun;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ResultCode;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class BuddyCodecTest {
    private static final RequestRef REF =
            new RequestRef(new AccountId("clinic"), new RequestKey("k"));
    private static final GenerationId ID = new GenerationId("g");
    private static final OwnerEpoch EPOCH = new OwnerEpoch(3, new HostId("r1"), 1L << 41);
    private static final TokenRun RUN =
            TokenRun.of(new int[] {7, -9}, "a\u00e9b", new int[] {1, 3});
    private static final Outcome END = new Outcome(ResultCode.OK, "stop");
    private static final Fingerprint PRINT = new Fingerprint(-1, 2);

    static Stream<BuddyMessage> messages() {
        GenerationSpec spec =
                new GenerationSpec(
                        ID, REF, new ModelId("m", "a", "v"), Rank.BULK, -7, PRINT, 12, "{}");
        EndpointId endpoint = new EndpointId("e1");
        return Stream.of(
                new BuddyMessage.Open(
                        spec, List.of(new Segment(EPOCH, 0)), RUN, END, 2, endpoint, 1),
                new BuddyMessage.Open(
                        spec, List.of(new Segment(EPOCH, 0)), TokenRun.EMPTY, null, 0, null, 0),
                new BuddyMessage.Copy(REF, ID, EPOCH, 5, RUN, END, 2, endpoint),
                new BuddyMessage.Copy(REF, ID, EPOCH, 5, RUN, null, 2, null),
                new BuddyMessage.Ack(REF, ID, EPOCH, 7, true),
                new BuddyMessage.NotHeld(REF, ID, EPOCH),
                new BuddyMessage.Owned(REF, ID, EPOCH),
                new BuddyMessage.Conflict(REF, ID, new GenerationId("h"), EPOCH, PRINT),
                new BuddyMessage.Release(REF, ID, EPOCH),
                new BuddyMessage.Handover(REF, ID, EPOCH),
                new BuddyMessage.Locate(REF),
                new BuddyMessage.Located(REF, ID, EPOCH, PRINT),
                new BuddyMessage.Located(REF, null, null, null),
                new BuddyMessage.Subscribe(REF, ID, 9, EPOCH, 4),
                new BuddyMessage.Subscribe(REF, ID, 9, null, 0),
                new BuddyMessage.Relay(REF, ID, EPOCH, 9, EPOCH, 4, 5, RUN, END),
                new BuddyMessage.Relay(REF, ID, EPOCH, 9, null, 0, 0, TokenRun.EMPTY, null),
                new BuddyMessage.Diverged(REF, ID, 9),
                new BuddyMessage.Unsubscribe(REF, ID, 9),
                new BuddyMessage.DeathReport(endpoint, Set.of(PRINT, new Fingerprint(5, 6))),
                new BuddyMessage.QuarantineNotice(PRINT, 600_000),
                new BuddyMessage.Probe(2),
                new BuddyMessage.ProbeAck(2));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageSurvivesTheWire(BuddyMessage message) {
        BuddyPacket packet = BuddyCodec.decode(BuddyCodec.encode(17, message));
        assertThat(packet.incarnation()).isEqualTo(17);
        assertThat(packet.message()).isEqualTo(message);
    }

    @Test
    void otherBytesAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> BuddyCodec.decode(new byte[] {1, 2, 3}));
    }
}
