package io.siskintrail.internal.generation;

import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State that the parts of {@link GenerationMachine} share: settings, time, effects, generations.
 */
final class Stripe {
    final GenerationSettings settings;
    final HostInfo self;
    final long incarnation;
    final int index;
    final SafetyChecks checks;
    final PeerView peers;
    final Map<GenerationId, OwnedGeneration> owned = new LinkedHashMap<>();
    final Map<GenerationId, HeldCopy> held = new LinkedHashMap<>();
    final Map<RequestRef, GenerationId> generationByRef = new HashMap<>();
    final Set<Fingerprint> quarantined = new HashSet<>();
    private final Map<GenerationId, Fence> fences = new LinkedHashMap<>();

    long now;
    long drainDeadline = OwnedGeneration.NEVER;
    private List<GenerationEffect> effects = new ArrayList<>();

    Stripe(
            GenerationSettings settings,
            HostInfo self,
            long incarnation,
            int index,
            SafetyChecks checks) {
        this.settings = settings;
        this.self = self;
        this.incarnation = incarnation;
        this.index = index;
        this.checks = checks;
        this.peers = new PeerView(self);
    }

    void emit(GenerationEffect effect) {
        effects.add(effect);
    }

    void send(HostId to, BuddyMessage message) {
        effects.add(new GenerationEffect.Send(to, message));
    }

    List<GenerationEffect> takeEffects() {
        List<GenerationEffect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }

    boolean isDraining() {
        return drainDeadline != OwnedGeneration.NEVER;
    }

    boolean isPastDrainDeadline() {
        return isDraining() && now >= drainDeadline;
    }

    /** Returns the epoch below which owners of {@code generation} are fenced here, or null. */
    OwnerEpoch fence(GenerationId generation) {
        Fence fence = fences.get(generation);
        return fence == null ? null : fence.epoch;
    }

    void raiseFence(GenerationId generation, OwnerEpoch epoch) {
        OwnerEpoch known = fence(generation);
        if (known == null || epoch.fences(known)) {
            fences.put(generation, new Fence(epoch, now));
        }
    }

    void expireFences() {
        fences.values().removeIf(fence -> now - fence.since > settings.retention());
    }

    private record Fence(OwnerEpoch epoch, long since) {}
}
