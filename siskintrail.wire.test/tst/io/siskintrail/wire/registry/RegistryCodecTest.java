package io.siskintrail.wire.registry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.traffic.admission.RetryUsage;
import io.siskintrail.internal.traffic.admission.WaitingRequest;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.internal.traffic.placement.EngineSpeed;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.wire.ThriftCodec;
import io.siskintrail.wire.gen.registry.ContentHashData;
import io.siskintrail.wire.gen.registry.DeathData;
import io.siskintrail.wire.gen.registry.RefusalData;
import io.siskintrail.wire.gen.registry.RegistryBody;
import io.siskintrail.wire.gen.registry.SoundData;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Messages keep their content, also those of builds that know fewer fields. */
class RegistryCodecTest {
    private static final HostId HOST = new HostId("edge-1");
    private static final EndpointId ENDPOINT = new EndpointId("e1");
    private static final ServiceName SERVICE = new ServiceName("model");
    private static final Fingerprint CONTENT = new Fingerprint(3, 4);
    private static final Set<PromptPart> PARTS =
            Set.of(new PromptPart("one"), new PromptPart("two"));

    private static final RolloutRecord ROLLOUT =
            new RolloutRecord(
                    new RolloutOrder(SERVICE, new EndpointVersion("v2"), 12_000),
                    3,
                    1_700,
                    RolloutRecord.Status.ROLLED_BACK);

    static Stream<RegistryMessage> messages() {
        return Stream.of(
                new RegistryMessage.Death(HOST, ENDPOINT, List.of()),
                new RegistryMessage.Death(
                        HOST,
                        ENDPOINT,
                        List.of(
                                new CrashSuspect(CONTENT, PARTS),
                                new CrashSuspect(CONTENT, Set.of()))),
                new RegistryMessage.Refusal(new CrashSignature.OfContent(CONTENT), 600),
                new RegistryMessage.Refusal(new CrashSignature.OfParts(PARTS), 0),
                new RegistryMessage.Draining(HOST, 6_800),
                new RegistryMessage.Status(7, true, List.of(HOST), 3, List.of()),
                new RegistryMessage.Status(7, true, List.of(HOST), 3, List.of(ROLLOUT)),
                new RegistryMessage.Endpoints(
                        List.of(record(EndpointVersion.NONE), record(new EndpointVersion("v2")))),
                new RegistryMessage.Loads(List.of(RegistryMessage.HostLoads.nothing(HOST))),
                loads(Optional.empty()),
                loads(
                        Optional.of(
                                List.of(
                                        new WaitingRequest(
                                                SERVICE, 2, -7, 40, 3_000, 8_900, true)))),
                new RegistryMessage.Sound(
                        HOST, Map.of(new PromptPart("one"), 7L, new PromptPart("two"), 0L)));
    }

    private static EndpointRecord record(EndpointVersion version) {
        return new EndpointRecord(
                ENDPOINT,
                1,
                2,
                SERVICE,
                "10.0.0.1:80",
                new FailureDomain("a"),
                4,
                0,
                EndpointState.READY,
                version);
    }

    private static RegistryMessage loads(Optional<List<WaitingRequest>> waiting) {
        return new RegistryMessage.Loads(
                List.of(
                        new RegistryMessage.HostLoads(
                                HOST,
                                false,
                                List.of(new PlacedLoad(ENDPOINT, 1, 9_000, 1_025)),
                                List.of(),
                                waiting,
                                List.of(new EngineSpeed(ENDPOINT, 13_600, 250)),
                                List.of(new RetryUsage(SERVICE, 12, 3)))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodedMessageEqualsTheEncodedOne(RegistryMessage message) {
        assertThat(RegistryCodec.decode(RegistryCodec.encode(message))).isEqualTo(message);
    }

    @Test
    void soundPartsFromABuildWithoutAgesAreOfThisMoment() {
        SoundData data = new SoundData("edge-1", List.of("one", "two"));

        RegistryMessage message =
                RegistryCodec.decode(ThriftCodec.encode(RegistryBody.sound(data)));

        assertThat(message)
                .isEqualTo(
                        new RegistryMessage.Sound(
                                HOST,
                                Map.of(new PromptPart("one"), 0L, new PromptPart("two"), 0L)));
    }

    @Test
    void deathFromABuildWithoutSuspectsNamesContentsWithoutParts() {
        DeathData data = new DeathData("edge-1", "e1", List.of(new ContentHashData(3, 4)));

        RegistryMessage message =
                RegistryCodec.decode(ThriftCodec.encode(RegistryBody.death(data)));

        CrashSuspect suspect = new CrashSuspect(CONTENT, Set.of());
        assertThat(message).isEqualTo(new RegistryMessage.Death(HOST, ENDPOINT, List.of(suspect)));
    }

    @Test
    void buildWithoutSuspectsFindsTheirContents() throws TException {
        CrashSuspect suspect = new CrashSuspect(CONTENT, PARTS);
        byte[] bytes =
                RegistryCodec.encode(
                        new RegistryMessage.Death(HOST, ENDPOINT, List.of(suspect, suspect)));

        RegistryBody body = ThriftCodec.decode(bytes, new RegistryBody());

        assertThat(body.getDeath().getRunning()).containsExactly(new ContentHashData(3, 4));
    }

    @Test
    void buildWithoutPartsRefusesNoRequestForThem() throws TException {
        byte[] bytes =
                RegistryCodec.encode(
                        new RegistryMessage.Refusal(new CrashSignature.OfParts(PARTS), 600));

        RegistryBody body = ThriftCodec.decode(bytes, new RegistryBody());

        assertThat(body.getRefusal().getContent()).isEqualTo(new ContentHashData(0, 0));
    }

    /** Guards sound requests: a refusal that lost a part would match more of them. */
    @Test
    void refusalWithAMalformedPartIsNotApplied() {
        RefusalData data = new RefusalData(new ContentHashData(0, 0), 600);
        data.setParts(List.of("one", "x".repeat(65)));
        byte[] bytes = ThriftCodec.encode(RegistryBody.refusal(data));

        assertThrows(IllegalArgumentException.class, () -> RegistryCodec.decode(bytes));
    }
}
