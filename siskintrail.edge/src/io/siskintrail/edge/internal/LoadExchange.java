package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.internal.traffic.PlacedLoad;
import io.siskintrail.internal.traffic.PrefilledPrompt;
import io.siskintrail.internal.traffic.PrefilledPrompts;
import io.siskintrail.internal.traffic.PromptId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reports to other edges the load that this edge has placed on engines and which prompts the
 * engines have prefilled, and applies their reports. One registry relays the reports, so that edges
 * need no links among each other. Reports contain only changes, batched for a short time. Since
 * messages can be lost, the full load is reported periodically; for an edge that ended, the
 * registry reports that it has placed nothing.
 */
final class LoadExchange {
    /** Batching time of changes; short compared with the prefill of a prompt. */
    private static final long BATCH_MILLIS = 20;

    private final EventLoop loop;
    private final HostId localHost;
    private final Consumer<RegistryMessage> sender;
    private final Map<EndpointId, EndpointView> changedEngines = new LinkedHashMap<>();
    private final Map<EndpointId, EndpointView> loadedEngines = new LinkedHashMap<>();
    private boolean reportsAll;

    /**
     * Whether other edges may count load of this edge: something was reported since all its load
     * ended.
     */
    private boolean mayBeCounted;

    private final List<PrefilledPrompt> pendingPrompts = new ArrayList<>();
    private final PrefilledPrompts prompts = new PrefilledPrompts();
    private boolean reportScheduled;

    /**
     * Creates the state of an edge that has placed nothing.
     *
     * @param sender sends a message to one registry, which relays it to all edges
     */
    LoadExchange(EventLoop loop, HostId localHost, Consumer<RegistryMessage> sender) {
        this.loop = loop;
        this.localHost = localHost;
        this.sender = sender;
    }

    /** Records that the load of this edge on {@code engine} changed. */
    void recordChange(EndpointView engine) {
        changedEngines.put(engine.record().id(), engine);
        loadedEngines.put(engine.record().id(), engine);
        scheduleReport();
    }

    /** Records that an engine has prefilled a prompt that this edge sent to it. */
    void recordPromptRead(PrefilledPrompt read) {
        prompts.recordPrefill(read, EventLoop.nowMillis());
        pendingPrompts.add(read);
        scheduleReport();
    }

    /** Returns the engine that has prefilled {@code prompt} for any edge, null if none is known. */
    EndpointId findEngineWithPrompt(PromptId prompt) {
        return prompts.findEndpoint(prompt, EventLoop.nowMillis());
    }

    /** Reports the full load, and once more after all of it has ended. */
    void reportAll() {
        loadedEngines
                .values()
                .removeIf(engine -> engine.localLoad(EventLoop.nowMillis()).tokens() == 0);
        if (!loadedEngines.isEmpty() || mayBeCounted) {
            changedEngines.putAll(loadedEngines);
            reportsAll = true;
            scheduleReport();
        }
    }

    /** Reports the full load because the last report may be lost. */
    void reportAllAfterLoss() {
        mayBeCounted = true;
        reportAll();
    }

    /** Applies the load reports of other edges. */
    void applyReport(RegistryMessage.Loads loads, EndpointTable endpoints) {
        long now = EventLoop.nowMillis();
        for (RegistryMessage.HostLoads hostLoads : loads.hosts()) {
            if (hostLoads.host().equals(localHost)) {
                continue;
            }
            if (hostLoads.complete()) {
                endpoints.forEach(engine -> engine.removeRemoteLoad(hostLoads.host()));
            }
            for (PlacedLoad load : hostLoads.loads()) {
                EndpointView view = endpoints.get(load.endpoint());
                if (view != null) {
                    view.updateRemoteLoad(hostLoads.host(), load, now);
                }
            }
            hostLoads.prompts().forEach(readPrompt -> prompts.recordPrefill(readPrompt, now));
        }
    }

    private void sendReport() {
        reportScheduled = false;
        long now = EventLoop.nowMillis();
        List<PlacedLoad> loads = new ArrayList<>(changedEngines.size());
        changedEngines.values().forEach(engine -> loads.add(engine.localLoad(now)));
        changedEngines.clear();
        mayBeCounted = !reportsAll || !loads.isEmpty();
        List<PrefilledPrompt> read = List.copyOf(pendingPrompts);
        pendingPrompts.clear();
        boolean isComplete = reportsAll;
        reportsAll = false;
        sender.accept(
                new RegistryMessage.Loads(
                        List.of(
                                new RegistryMessage.HostLoads(
                                        localHost, isComplete, loads, read))));
    }

    private void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            loop.after(BATCH_MILLIS, this::sendReport);
        }
    }
}
