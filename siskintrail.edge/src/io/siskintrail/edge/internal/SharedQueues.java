package io.siskintrail.edge.internal;

import io.siskintrail.edge.EdgeSettings;
import io.siskintrail.internal.traffic.admission.AdmissionOrder;
import io.siskintrail.internal.traffic.admission.StartRate;
import io.siskintrail.internal.traffic.admission.WaitingRequest;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Admits the streams of services with engines in one order over all edges, which report their
 * waiting requests to each other. Used while there are enough edges; otherwise {@link
 * AdmissionQueues} decides for this edge alone. Nothing is computed and no timer runs while no
 * request waits here. Confined to the event loop.
 */
final class SharedQueues {
    /** Polling interval for places that other edges release. */
    private static final long POLL_INTERVAL_MILLIS = 40;

    /**
     * Interval at which waiting requests are reported again, so that other edges tell a paused edge
     * or a lost report from unchanged requests.
     */
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    /**
     * A request keeps waiting if it would start in time with starts this many times faster than
     * forecast, since the rate varies by that much when a failure domain is lost.
     */
    private static final double OPTIMISM_FACTOR = 2;

    /** Shortest Retry-After; refused requests return spread over as long again. */
    private static final long MIN_RETRY_MILLIS = 100;

    private final EdgeContext edge;
    private final RegistryFollower registries;
    private final long minHosts;
    private final HostId localHost;
    private final Map<ServiceName, ServiceQueue> queues = new HashMap<>();
    private boolean active;
    private boolean pollScheduled;
    private long reportedAtMillis;

    /** The requests that wait for one service. */
    private static final class ServiceQueue {
        private final AdmissionOrder<StreamAdmission> order = new AdmissionOrder<>();
        private final StartRate rate = new StartRate();

        /** Requests that did not start at once, which other edges may know of. */
        private final Set<AdmissionOrder.Waiting<StreamAdmission>> reportable = new HashSet<>();

        private boolean placing;
    }

    /** Starts and ends of the requests of one edge at one service, by its report. */
    private static final class Changes {
        private int starts;
        private int ends;

        void add(int change) {
            starts += Math.max(0, change);
            ends += Math.max(0, -change);
        }
    }

    /** Creates empty queues. */
    SharedQueues(EdgeContext edge, RegistryFollower registries, EdgeSettings settings) {
        this.edge = edge;
        this.registries = registries;
        this.minHosts = settings.sharedOrderMinHosts();
        this.localHost = new HostId(settings.host());
    }

    /**
     * Returns whether there are enough edges for one order; while no registry is reachable, as it
     * was before.
     */
    boolean isActive() {
        if (registries.linkCount() > 0) {
            active = registries.edgeCount() >= minHosts;
        }
        return active;
    }

    /**
     * Adds a request and places it if it is its turn; ends it if it cannot start in time.
     *
     * @param onAdded receives the entry of the request before it is placed
     */
    void enter(
            StreamAdmission stream,
            AdmissionOrder.Request request,
            Consumer<AdmissionOrder.Waiting<StreamAdmission>> onAdded) {
        ServiceQueue queue = queue(stream.exchange().service);
        AdmissionOrder.Waiting<StreamAdmission> entry = queue.order.add(stream, request);
        onAdded.accept(entry);
        if (request.latestStartMillis() > EventLoop.nowMillis()) {
            place(queue);
        }
        if (!queue.order.contains(entry) || !request.resumption() && isPushedBack(entry)) {
            return;
        }
        endLate(queue);
        if (queue.order.contains(entry)) {
            queue.reportable.add(entry);
            reportWaiting();
            schedulePoll();
        }
    }

    /** Removes a request that started or ended. */
    void remove(ServiceName service, AdmissionOrder.Waiting<StreamAdmission> entry) {
        ServiceQueue queue = queue(service);
        queue.order.remove(entry);
        if (queue.reportable.remove(entry)) {
            reportWaiting();
        }
    }

    /** Records that an attempt of this edge at an engine of a service ended. */
    void recordEnd(ServiceName service) {
        ServiceQueue queue = queue(service);
        queue.rate.record(EventLoop.nowMillis(), 0, 1);
        if (queue.order.size() > 0) {
            edge.loop().execute(() -> place(queue));
        }
    }

    /** Returns how many waiting requests go before a resumption that does not wait itself. */
    int countAhead(ServiceName service, int rank) {
        return queue(service).order.countAhead(EventLoop.nowMillis(), rank);
    }

    /**
     * Applies what other edges report of waiting and started requests. Must be called before the
     * reported load replaces the load of the previous reports.
     */
    void applyReports(RegistryMessage.Loads report, EndpointTable endpoints) {
        if (!isActive()) {
            return;
        }
        for (RegistryMessage.HostLoads hostLoads : report.hosts()) {
            if (!hostLoads.host().equals(localHost)) {
                applyReport(hostLoads, endpoints);
            }
        }
    }

    private void applyReport(RegistryMessage.HostLoads hostLoads, EndpointTable endpoints) {
        long now = EventLoop.nowMillis();
        Map<ServiceName, Changes> changes = findChanges(hostLoads, endpoints);
        changes.forEach((service, c) -> queue(service).rate.record(now, c.starts, c.ends));
        if (hostLoads.waiting().isEmpty()) {
            return;
        }
        Map<ServiceName, List<WaitingRequest>> waiting = new HashMap<>();
        for (WaitingRequest request : hostLoads.waiting().get()) {
            waiting.computeIfAbsent(request.service(), s -> new ArrayList<>()).add(request);
        }
        waiting.keySet().forEach(this::queue);
        queues.forEach(
                (service, queue) -> {
                    Changes c = changes.getOrDefault(service, new Changes());
                    List<WaitingRequest> ofService = waiting.getOrDefault(service, List.of());
                    queue.order.applyReport(
                            hostLoads.host(), now, Optional.of(ofService), c.starts);
                });
    }

    private static Map<ServiceName, Changes> findChanges(
            RegistryMessage.HostLoads hostLoads, EndpointTable endpoints) {
        Map<ServiceName, Changes> changes = new HashMap<>();
        Set<EndpointId> reported = new HashSet<>();
        for (PlacedLoad load : hostLoads.loads()) {
            EndpointView view = endpoints.get(load.endpoint());
            if (view != null) {
                reported.add(load.endpoint());
                changes.computeIfAbsent(view.record().service(), s -> new Changes())
                        .add(load.running() - view.remoteRunning(hostLoads.host()));
            }
        }
        if (hostLoads.complete()) {
            endpoints.forEach(
                    view -> {
                        int running = view.remoteRunning(hostLoads.host());
                        if (running > 0 && !reported.contains(view.record().id())) {
                            changes.computeIfAbsent(view.record().service(), s -> new Changes())
                                    .add(-running);
                        }
                    });
        }
        return changes;
    }

    /** Returns the gauges of the metrics page. */
    String gauges() {
        long now = EventLoop.nowMillis();
        Map<Integer, Integer> byRank = new TreeMap<>();
        int remote = 0;
        long oldestMillis = 0;
        for (ServiceQueue queue : queues.values()) {
            queue.order
                    .ordered(now)
                    .forEach(entry -> byRank.merge(entry.request().rank(), 1, Integer::sum));
            remote += queue.order.remoteSize(now);
            oldestMillis = Math.max(oldestMillis, queue.order.oldestReportMillis(now));
        }
        StringBuilder page = new StringBuilder();
        byRank.forEach(
                (rank, n) ->
                        page.append(
                                "siskintrail_edge_order_waiting{rank=\"%d\"} %d\n"
                                        .formatted(rank, n)));
        return page.append("siskintrail_edge_order_active %d\n".formatted(isActive() ? 1 : 0))
                .append("siskintrail_edge_order_waiting_elsewhere %d\n".formatted(remote))
                .append("siskintrail_edge_order_report_age_millis %d\n".formatted(oldestMillis))
                .toString();
    }

    private ServiceQueue queue(ServiceName service) {
        return queues.computeIfAbsent(service, s -> new ServiceQueue());
    }

    private boolean hasWaiting() {
        return queues.values().stream().anyMatch(queue -> queue.order.size() > 0);
    }

    private void reportWaiting() {
        edge.loadExchange().recordWaitingChanged(this::listWaiting);
        reportedAtMillis = EventLoop.nowMillis();
    }

    private List<WaitingRequest> listWaiting() {
        long now = EventLoop.nowMillis();
        List<WaitingRequest> waiting = new ArrayList<>();
        queues.forEach((service, queue) -> waiting.addAll(queue.order.report(service, now)));
        return waiting;
    }

    private void schedulePoll() {
        if (!pollScheduled) {
            pollScheduled = true;
            edge.loop().after(POLL_INTERVAL_MILLIS, this::poll);
        }
    }

    private void poll() {
        pollScheduled = false;
        for (ServiceQueue queue : List.copyOf(queues.values())) {
            if (queue.order.size() > 0) {
                place(queue);
                endLate(queue);
            }
        }
        if (hasWaiting()) {
            schedulePoll();
            if (EventLoop.nowMillis() - reportedAtMillis >= REPORT_INTERVAL_MILLIS) {
                reportWaiting();
            }
        }
    }

    /** Starts the requests of this edge whose turn it is. */
    private void place(ServiceQueue queue) {
        if (queue.placing) {
            // A start failed at once, and its stream or another one enters again.
            schedulePoll();
            return;
        }
        queue.placing = true;
        try {
            while (placeOne(queue)) {
                // Each start changes the order and the places.
            }
        } finally {
            queue.placing = false;
        }
    }

    /** Starts the first request whose turn it is; returns whether there was one. */
    private boolean placeOne(ServiceQueue queue) {
        long fullTokens = Long.MAX_VALUE;
        int fullPlaces = 0;
        for (AdmissionOrder.Waiting<StreamAdmission> entry :
                List.copyOf(queue.order.ordered(EventLoop.nowMillis()))) {
            long countedTokens = entry.item().countedTokens(entry.maxTokens());
            boolean isKnownFull = countedTokens >= fullTokens && entry.position() >= fullPlaces;
            if (isKnownFull || !queue.order.contains(entry)) {
                continue;
            }
            boolean mayStart = entry.position() == 0 || countPlaces(entry) > entry.position();
            if (mayStart && tryStart(queue, entry)) {
                return true;
            }
            int places = countPlaces(entry);
            if (places <= entry.position()) {
                fullTokens = countedTokens;
                fullPlaces = places;
            }
        }
        return false;
    }

    private boolean tryStart(ServiceQueue queue, AdmissionOrder.Waiting<StreamAdmission> entry) {
        StreamExchange exchange = entry.item().exchange();
        int sent = entry.item().sentAttempts();
        if (entry.request().resumption()) {
            // A stream that runs goes on while this edge stops; only new ones are turned away.
            exchange.guard(exchange::tryPlace);
        } else {
            exchange.tryPlaceQueued();
        }
        if (entry.item().sentAttempts() > sent) {
            queue.order.recordStart(entry.request());
            queue.rate.record(EventLoop.nowMillis(), 1, 0);
            edge.stats().recordOrder("started", exchange.call);
        }
        return !queue.order.contains(entry);
    }

    private static int countPlaces(AdmissionOrder.Waiting<StreamAdmission> entry) {
        return entry.item().countPlaces(entry.maxTokens(), entry.position() + 1);
    }

    /** Ends a new request if all engines push back for longer than it can wait. */
    private boolean isPushedBack(AdmissionOrder.Waiting<StreamAdmission> entry) {
        long waitMillis = entry.request().latestStartMillis() - EventLoop.nowMillis();
        return entry.item().exchange().rejectIfPushedBack(Math.max(0, waitMillis));
    }

    /** Ends the requests of this edge that cannot start in time. */
    private void endLate(ServiceQueue queue) {
        long now = EventLoop.nowMillis();
        int ended = 0;
        for (AdmissionOrder.Waiting<StreamAdmission> entry :
                List.copyOf(queue.order.ordered(now))) {
            int position = Math.max(0, entry.position() - ended);
            double forecastMillis = queue.rate.expectedWaitMillis(now, position);
            double earliestMillis = position == 0 ? 0 : forecastMillis / OPTIMISM_FACTOR;
            if (queue.order.contains(entry)
                    && (now >= entry.request().latestStartMillis()
                            || now + earliestMillis > entry.request().latestStartMillis())) {
                ended++;
                end(entry, position, (long) forecastMillis);
            }
        }
    }

    private void end(
            AdmissionOrder.Waiting<StreamAdmission> entry, int position, long forecastMillis) {
        int places = entry.item().countPlaces(0, position + 1);
        edge.stats().recordOrder("refused", entry.item().exchange().call);
        long waitedMillis = EventLoop.nowMillis() - entry.request().sinceMillis();
        // Clients return only a few times, and this one has waited longer than was forecast.
        long retryMillis = Math.max(MIN_RETRY_MILLIS, Math.max(forecastMillis, waitedMillis / 2));
        entry.item()
                .exchange()
                .endLate(
                        "position=%d places=%d forecast_ms=%d waited_ms=%d"
                                .formatted(position, places, forecastMillis, waitedMillis),
                        retryMillis + edge.random().nextLong(retryMillis));
    }
}
