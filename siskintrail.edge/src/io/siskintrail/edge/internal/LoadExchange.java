package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.admission.WaitingRequest;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.internal.traffic.placement.EngineSpeed;
import io.siskintrail.internal.traffic.placement.PrefilledPrompt;
import io.siskintrail.internal.traffic.placement.PrefilledPrompts;
import io.siskintrail.internal.traffic.placement.PromptId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Reports to other edges the load that this edge has placed on engines and which prompts the
 * engines have prefilled and how fast, which requests wait at this edge and how many retries it
 * used, and applies the reports of other edges. One registry relays the reports, so that edges need
 * no links among each other. Reports contain only changes, batched for {@link #BATCH_MILLIS}. Since
 * messages can be lost, the full load is reported periodically. When an edge ends, the registry
 * reports on its behalf that the edge has placed nothing.
 */
final class LoadExchange {
    /** Batching time of changes; short compared with the prefill of a prompt. */
    private static final long BATCH_MILLIS = 20;

    private final EventLoop loop;
    private final HostId localHost;
    private final Consumer<RegistryMessage> sender;
    private final RetryBudgets retryBudgets;
    private final Map<EndpointId, EndpointView> changedEngines = new LinkedHashMap<>();
    private final Map<EndpointId, EndpointView> loadedEngines = new LinkedHashMap<>();

    /** Whether the next report contains the full load. */
    private boolean nextReportIsComplete;

    /**
     * Whether other edges may still count load of this edge, since no report that all of it has
     * ended was sent after the last other report.
     */
    private boolean mayBeCountedElsewhere;

    private final List<PrefilledPrompt> unreportedPrompts = new ArrayList<>();
    private final PrefilledPrompts prefilledPrompts = new PrefilledPrompts();

    /** Returns the requests that wait at this edge; null if they have not changed. */
    private Supplier<List<WaitingRequest>> changedWaiting;

    private final ServiceSpeeds speeds = new ServiceSpeeds();
    private boolean reportScheduled;

    /**
     * Creates the load exchange of an edge that has placed no load.
     *
     * @param sender sends a message to one registry, which relays it to all edges
     * @param retryBudgets the use of retries, which edges report to each other
     */
    LoadExchange(
            EventLoop loop,
            HostId localHost,
            Consumer<RegistryMessage> sender,
            RetryBudgets retryBudgets) {
        this.loop = loop;
        this.localHost = localHost;
        this.sender = sender;
        this.retryBudgets = retryBudgets;
    }

    /** Records that the load of this edge on {@code engine} changed. */
    void recordChange(EndpointView engine) {
        changedEngines.put(engine.record().id(), engine);
        loadedEngines.put(engine.record().id(), engine);
        scheduleReport();
    }

    /**
     * Records that other requests wait at this edge than it reported last.
     *
     * @param waiting returns them when the report is sent
     */
    void recordWaitingChanged(Supplier<List<WaitingRequest>> waiting) {
        changedWaiting = waiting;
        scheduleReport();
    }

    /** Records that an engine has prefilled a prompt that this edge sent to it. */
    void recordPromptPrefilled(PrefilledPrompt prefilledPrompt) {
        prefilledPrompts.recordPrefill(prefilledPrompt, EventLoop.nowMillis());
        unreportedPrompts.add(prefilledPrompt);
        scheduleReport();
    }

    /** Returns the engine that has prefilled {@code prompt} for any edge, null if none is known. */
    EndpointId findEngineWithPrompt(PromptId prompt) {
        return prefilledPrompts.findEndpoint(prompt, EventLoop.nowMillis());
    }

    /** Returns the measured speeds of engines, as of this edge and of the reports of others. */
    ServiceSpeeds speeds() {
        return speeds;
    }

    /** Schedules a report of the full load; without load, only if others may still count some. */
    void reportAll() {
        loadedEngines
                .values()
                .removeIf(engine -> engine.localLoad(EventLoop.nowMillis()).tokens() == 0);
        if (!loadedEngines.isEmpty() || mayBeCountedElsewhere) {
            changedEngines.putAll(loadedEngines);
            nextReportIsComplete = true;
            scheduleReport();
        }
    }

    /** Schedules a report of the full load because the lost registry may have relayed no report. */
    void reportAllAfterRegistryLoss() {
        mayBeCountedElsewhere = true;
        reportAll();
    }

    /** Applies the reports of other edges. Skips reports of this edge and unknown endpoints. */
    void applyReport(RegistryMessage.Loads report, EndpointTable endpoints) {
        long now = EventLoop.nowMillis();
        for (RegistryMessage.HostLoads hostLoads : report.hosts()) {
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
            retryBudgets.applyReport(hostLoads.host(), hostLoads.retries());
            for (EngineSpeed speed : hostLoads.speeds()) {
                EndpointView view = endpoints.get(speed.endpoint());
                if (view != null) {
                    speeds.of(view.record().service()).recordReported(now, speed);
                }
            }
            hostLoads
                    .prompts()
                    .forEach(readPrompt -> prefilledPrompts.recordPrefill(readPrompt, now));
        }
    }

    private void sendReport() {
        reportScheduled = false;
        long now = EventLoop.nowMillis();
        List<PlacedLoad> loads = new ArrayList<>(changedEngines.size());
        changedEngines.values().forEach(engine -> loads.add(engine.localLoad(now)));
        changedEngines.clear();
        mayBeCountedElsewhere = !nextReportIsComplete || !loads.isEmpty();
        List<PrefilledPrompt> promptsToReport = List.copyOf(unreportedPrompts);
        unreportedPrompts.clear();
        Optional<List<WaitingRequest>> waiting =
                Optional.ofNullable(changedWaiting).map(Supplier::get);
        changedWaiting = null;
        boolean isComplete = nextReportIsComplete;
        nextReportIsComplete = false;
        sender.accept(
                new RegistryMessage.Loads(
                        List.of(
                                new RegistryMessage.HostLoads(
                                        localHost,
                                        isComplete,
                                        loads,
                                        promptsToReport,
                                        waiting,
                                        speeds.takeUnreported(now),
                                        retryBudgets.takeReport(isComplete)))));
    }

    private void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            loop.after(BATCH_MILLIS, this::sendReport);
        }
    }
}
