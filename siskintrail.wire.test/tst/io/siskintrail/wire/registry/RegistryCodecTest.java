package io.siskintrail.wire.registry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.ThriftCodec;
import io.siskintrail.wire.gen.registry.ContentHashData;
import io.siskintrail.wire.gen.registry.DeathData;
import io.siskintrail.wire.gen.registry.RefusalData;
import io.siskintrail.wire.gen.registry.RegistryBody;
import io.siskintrail.wire.gen.registry.SoundData;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Messages about requests that crash endpoints, also those of builds without prompt parts. */
class RegistryCodecTest {
    private static final HostId HOST = new HostId("edge-1");
    private static final EndpointId ENDPOINT = new EndpointId("e1");
    private static final Fingerprint CONTENT = new Fingerprint(3, 4);
    private static final Set<PromptPart> PARTS =
            Set.of(new PromptPart("one"), new PromptPart("two"));

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
                new RegistryMessage.Sound(
                        HOST, Map.of(new PromptPart("one"), 7L, new PromptPart("two"), 0L)));
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
