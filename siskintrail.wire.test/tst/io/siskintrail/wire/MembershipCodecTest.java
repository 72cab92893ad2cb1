package io.siskintrail.wire;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.membership.EndpointEntry;
import io.siskintrail.internal.membership.HostEntry;
import io.siskintrail.internal.membership.HostState;
import io.siskintrail.internal.membership.MemberEntry;
import io.siskintrail.internal.membership.MembershipMessage;
import io.siskintrail.internal.membership.Renewal;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MembershipCodecTest {

    static List<MembershipMessage> messages() {
        EndpointInfo engine =
                new EndpointInfo(
                        new EndpointId("e"),
                        "10.0.0.1:80",
                        EndpointKind.ENGINE,
                        new FailureDomain("marka"),
                        List.of(new ModelId("m", "", "1"), new ModelId("m", "a", "2")),
                        List.of(),
                        8,
                        true,
                        -4,
                        true);
        EndpointInfo service =
                new EndpointInfo(
                        new EndpointId("s"),
                        "10.0.0.2:80",
                        EndpointKind.SERVICE,
                        new FailureDomain("sahab"),
                        List.of(),
                        List.of(new ServiceName("depot")),
                        1,
                        false,
                        9,
                        false);
        HostId h = new HostId("h");
        List<MemberEntry> entries =
                List.of(
                        new HostEntry(h, 5, HostState.SUSPECT),
                        new EndpointEntry(engine, h, 3, false),
                        new EndpointEntry(service, h, 1, true));
        return List.of(
                new MembershipMessage.Ping(1, entries),
                new MembershipMessage.Ack(2, List.of()),
                new MembershipMessage.PingRequest(3, h),
                new MembershipMessage.Gossip(entries),
                new MembershipMessage.Pull(4),
                new MembershipMessage.Renewals(5, List.of(new Renewal(engine.id(), -4, 17))),
                new MembershipMessage.Digest(List.of(0L, -1L, Long.MAX_VALUE)),
                new MembershipMessage.Buckets(List.of(0, 63), entries, true));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageSurvivesEncoding(MembershipMessage message) {
        assertThat(MembershipCodec.decode(MembershipCodec.encode(message))).isEqualTo(message);
    }
}
