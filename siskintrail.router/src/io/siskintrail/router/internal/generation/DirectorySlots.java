package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.AttemptEnd;
import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.service.ControlLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Grants a slot at once at the live endpoint with the fewest streams of this router per slot. An
 * endpoint that was just lost is avoided while there are others.
 */
public final class DirectorySlots implements SlotSource {
    private static final long SUSPICION_MILLIS = 3_000;

    private final EndpointDirectory directory;
    private final Map<EndpointId, Place> places = new HashMap<>();
    private final Map<SlotKey, EndpointId> granted = new HashMap<>();

    /** Takes the live endpoints. */
    public DirectorySlots(EndpointDirectory directory) {
        this.directory = directory;
    }

    @Override
    public void request(GenerationEffect.RequestSlot request, Consumer<GenerationInput> answer) {
        answer.accept(grant(request));
    }

    @Override
    public synchronized void withdraw(GenerationId generation, int attempt) {
        EndpointId endpoint = granted.remove(new SlotKey(generation, attempt));
        if (endpoint != null) {
            places.get(endpoint).streams--;
        }
    }

    @Override
    public synchronized void release(
            GenerationId generation, int attempt, EndpointId endpoint, AttemptEnd cause) {
        withdraw(generation, attempt);
        Place place = places.get(endpoint);
        if (place != null && cause.endpointLost()) {
            place.suspectUntil = ControlLoop.nowMillis() + SUSPICION_MILLIS;
        }
    }

    @Override
    public synchronized String address(EndpointId endpoint) {
        Place place = places.get(endpoint);
        return place == null ? null : place.address;
    }

    private synchronized GenerationInput grant(GenerationEffect.RequestSlot request) {
        GenerationId id = request.spec().id();
        ModelId model = request.spec().model();
        List<EndpointInfo> live = directory.live(model);
        if (live.isEmpty()) {
            return new GenerationInput.SlotRefused(
                    id,
                    request.attempt(),
                    new Failure(ResultCode.NO_ENDPOINT, "no live endpoint serves " + model),
                    otherVersion(model));
        }
        long now = ControlLoop.nowMillis();
        EndpointInfo best =
                live.stream()
                        .min(
                                Comparator.comparing(
                                                (EndpointInfo e) ->
                                                        place(e).suspectUntil > now
                                                                || request.avoid().contains(e.id()))
                                        .thenComparing(e -> place(e).streams / (double) e.slots())
                                        .thenComparing(EndpointInfo::id))
                        .orElseThrow();
        place(best).streams++;
        granted.put(new SlotKey(id, request.attempt()), best.id());
        return new GenerationInput.SlotGranted(id, request.attempt(), best.id());
    }

    private Place place(EndpointInfo endpoint) {
        Place place = places.computeIfAbsent(endpoint.id(), e -> new Place());
        if (endpoint.incarnation() > place.incarnation) {
            place.incarnation = endpoint.incarnation();
            place.address = endpoint.address();
            place.suspectUntil = 0;
        }
        return place;
    }

    private ModelId otherVersion(ModelId model) {
        return directory.models().stream()
                .filter(m -> m.model().equals(model.model()))
                .filter(m -> m.adapter().equals(model.adapter()) && !m.equals(model))
                .max(Comparator.comparing(ModelId::version))
                .orElse(null);
    }

    private record SlotKey(GenerationId generation, int attempt) {}

    private static final class Place {
        private String address;
        private long incarnation = Long.MIN_VALUE;
        private int streams;
        private long suspectUntil;
    }
}
