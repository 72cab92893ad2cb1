package io.siskintrail.wire.registry;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.gen.registry.ContentHashData;
import io.siskintrail.wire.gen.registry.DeathData;
import io.siskintrail.wire.gen.registry.RefusalData;
import io.siskintrail.wire.gen.registry.SoundData;
import io.siskintrail.wire.gen.registry.SuspectData;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/** Converts the messages about requests that crash endpoints. */
final class CrashCodec {
    private static final Fingerprint NO_CONTENT = new Fingerprint(0, 0);

    private CrashCodec() {}

    static DeathData death(RegistryMessage.Death death) {
        List<ContentHashData> running =
                death.suspects().stream()
                        .map(CrashSuspect::content)
                        .distinct()
                        .map(CrashCodec::hash)
                        .toList();
        DeathData data = new DeathData(death.host().value(), death.endpoint().value(), running);
        data.setSuspects(death.suspects().stream().map(CrashCodec::suspect).toList());
        return data;
    }

    /** Returns the death; that of a build which does not know suspects has them without parts. */
    static RegistryMessage.Death death(DeathData data) {
        List<CrashSuspect> suspects =
                data.isSetSuspects()
                        ? data.getSuspects().stream().map(CrashCodec::suspect).toList()
                        : data.getRunning().stream()
                                .map(hash -> new CrashSuspect(fingerprint(hash), Set.of()))
                                .toList();
        return new RegistryMessage.Death(
                new HostId(data.getHost()), new EndpointId(data.getEndpoint()), suspects);
    }

    static RefusalData refusal(RegistryMessage.Refusal refusal) {
        if (refusal.signature() instanceof CrashSignature.OfParts parts) {
            RefusalData data = new RefusalData(hash(NO_CONTENT), refusal.millis());
            data.setParts(texts(parts.parts()));
            return data;
        }
        CrashSignature.OfContent content = (CrashSignature.OfContent) refusal.signature();
        return new RefusalData(hash(content.content()), refusal.millis());
    }

    static RegistryMessage.Refusal refusal(RefusalData data) {
        boolean refusesParts = data.isSetParts() && !data.getParts().isEmpty();
        CrashSignature signature =
                refusesParts
                        ? new CrashSignature.OfParts(allParts(data.getParts()))
                        : new CrashSignature.OfContent(fingerprint(data.getContent()));
        return new RegistryMessage.Refusal(signature, data.getMillis());
    }

    static SoundData sound(RegistryMessage.Sound sound) {
        SoundData data = new SoundData(sound.host().value(), texts(sound.ageMillis().keySet()));
        data.setAgesMillis(
                data.getParts().stream()
                        .map(text -> sound.ageMillis().get(new PromptPart(text)))
                        .toList());
        return data;
    }

    static RegistryMessage.Sound sound(SoundData data) {
        List<String> parts = data.getParts();
        List<Long> ages = data.isSetAgesMillis() ? data.getAgesMillis() : List.of();
        Map<PromptPart, Long> ageMillis = new HashMap<>();
        for (int i = 0; i < parts.size(); i++) {
            PromptPart part = PromptPart.ofNullable(parts.get(i));
            if (part != null) {
                ageMillis.put(part, i < ages.size() ? ages.get(i) : 0L);
            }
        }
        return new RegistryMessage.Sound(new HostId(data.getHost()), Map.copyOf(ageMillis));
    }

    private static SuspectData suspect(CrashSuspect suspect) {
        return new SuspectData(hash(suspect.content()), texts(suspect.parts()));
    }

    private static CrashSuspect suspect(SuspectData data) {
        return new CrashSuspect(fingerprint(data.getContent()), knownParts(data.getParts()));
    }

    private static ContentHashData hash(Fingerprint content) {
        return new ContentHashData(content.high(), content.low());
    }

    private static Fingerprint fingerprint(ContentHashData data) {
        return new Fingerprint(data.getHigh(), data.getLow());
    }

    private static List<String> texts(Collection<PromptPart> parts) {
        return parts.stream().map(PromptPart::value).sorted().toList();
    }

    /** Returns the parts that are valid. */
    private static Set<PromptPart> knownParts(List<String> texts) {
        return texts.stream()
                .map(PromptPart::ofNullable)
                .filter(Objects::nonNull)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the parts.
     *
     * @throws IllegalArgumentException when one is not valid; without it the rest would match more
     */
    private static Set<PromptPart> allParts(List<String> texts) {
        Set<PromptPart> parts = knownParts(texts);
        if (parts.size() != Set.copyOf(texts).size()) {
            throw new IllegalArgumentException("refusal with a malformed prompt part");
        }
        return parts;
    }
}
