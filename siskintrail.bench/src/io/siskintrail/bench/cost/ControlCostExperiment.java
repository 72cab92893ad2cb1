package io.siskintrail.bench.cost;

import io.siskintrail.bench.Experiment;
import io.siskintrail.router.RouterService;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures what a router spends on control: seven real routers, idle and busy, and the slopes of
 * the membership by hosts and by endpoints in virtual time. Argument: {@code [SECONDS]} of each
 * measurement with real routers.
 */
public final class ControlCostExperiment implements Experiment {
    private static final int ROUTERS = 7;
    private static final int ENGINES = 28;
    private static final long WARM_UP_MILLIS = 20_000;
    private static final int CALLS_PER_SECOND = 10;
    private static final int TOKENS = 30;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double KIB = 1024;
    private static final List<String> ANNOUNCE_THREADS =
            List.of("default-eventLoopGroup", "multithreadEventLoopGroup");
    private static final double SMALLEST_SHARE = 0.0005;
    private static final int[][] GRID = {{7, 28}, {50, 100}, {50, 760}, {200, 100}, {390, 760}};

    private final AtomicLong answered = new AtomicLong();
    private int seconds = 20;

    @Override
    public int run(String[] args) throws Exception {
        if (args.length > 0) {
            seconds = Integer.parseInt(args[0]);
        }
        real();
        MembershipCost[] costs = new MembershipCost[GRID.length];
        MembershipCost.measure(GRID[1][0], GRID[1][1], true);
        for (int i = 0; i < GRID.length; i++) {
            costs[i] = MembershipCost.measure(GRID[i][0], GRID[i][1], true);
            print(costs[i]);
        }
        slope("host", costs[1], costs[3], costs[3].hosts() - costs[1].hosts());
        slope("endpoint", costs[1], costs[2], costs[2].endpoints() - costs[1].endpoints());
        return 0;
    }

    private void real() throws Exception {
        long alone;
        try (RealRouters routers = new RealRouters(ROUTERS, ENGINES, true)) {
            Thread.sleep(WARM_UP_MILLIS);
            alone = Heap.usedBytes();
        }
        try (RealRouters routers = new RealRouters(ROUTERS, ENGINES, false)) {
            Thread.sleep(WARM_UP_MILLIS);
            long heap = Heap.usedBytes() - alone;
            measure("idle", routers, heap);
            ScheduledExecutorService load = load(routers);
            Thread.sleep(WARM_UP_MILLIS);
            measure("busy", routers, heap);
            load.shutdownNow();
        }
    }

    private void measure(String name, RealRouters routers, long heap) throws Exception {
        ThreadTimes times = new ThreadTimes();
        long bytes = routers.routers().stream().mapToLong(RouterService::peerBytesSent).sum();
        long messages = routers.routers().stream().mapToLong(RouterService::peerMessagesSent).sum();
        long calls = answered.get();
        Thread.sleep(seconds * MILLIS_PER_SECOND);
        double span = (double) seconds * ROUTERS;
        printThreads(name, times, span);
        System.out.printf(
                Locale.ROOT,
                "part=real load=%s routers=%d engines=%d calls_per_s=%.1f control_cpu_share=%.4f"
                        + " http_cpu_share=%.4f bytes_per_s=%.0f messages_per_s=%.1f"
                        + " heap_kib=%.0f%n",
                name,
                ROUTERS,
                ENGINES,
                (answered.get() - calls) / span,
                times.nanosOf(ThreadTimes.ROUTER_CONTROL) / NANOS_PER_SECOND / span,
                times.nanosOf(ANNOUNCE_THREADS) / NANOS_PER_SECOND / span,
                (routers.routers().stream().mapToLong(RouterService::peerBytesSent).sum() - bytes)
                        / span,
                (routers.routers().stream().mapToLong(RouterService::peerMessagesSent).sum()
                                - messages)
                        / span,
                heap / KIB / ROUTERS);
    }

    private static void printThreads(String load, ThreadTimes times, double span) {
        times.nanosByName()
                .forEach(
                        (name, nanos) -> {
                            double share = nanos / NANOS_PER_SECOND / span;
                            if (share >= SMALLEST_SHARE) {
                                System.out.printf(
                                        Locale.ROOT,
                                        "part=threads load=%s name=%s cpu_share=%.4f%n",
                                        load,
                                        name.replace(' ', '_'),
                                        share);
                            }
                        });
    }

    /** Sends completions to every router until it is shut down. */
    private ScheduledExecutorService load(RealRouters routers) {
        HttpClient http = HttpClient.newHttpClient();
        ScheduledExecutorService timer =
                Executors.newScheduledThreadPool(
                        1,
                        task -> {
                            Thread t = new Thread(task, "load");
                            t.setDaemon(true);
                            return t;
                        });
        for (RouterService router : routers.routers()) {
            timer.scheduleAtFixedRate(
                    () -> call(http, router),
                    0,
                    MILLIS_PER_SECOND / CALLS_PER_SECOND,
                    TimeUnit.MILLISECONDS);
        }
        return timer;
    }

    private void call(HttpClient http, RouterService router) {
        String body =
                "{\"model\":\"%s\",\"prompt\":\"list %d\",\"max_tokens\":%d,\"stream\":true}"
                        .formatted(RealRouters.MODEL, answered.get(), TOKENS);
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + router.httpAddress() + "/v1/completions"))
                        .header("Authorization", "Bearer " + RealRouters.API_KEY)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenAccept(
                        r -> {
                            if (r.body().contains("[DONE]")) {
                                answered.incrementAndGet();
                            }
                        });
    }

    private static void print(MembershipCost c) {
        System.out.printf(
                Locale.ROOT,
                "part=membership hosts=%d endpoints=%d cpu_share=%.5f bytes_per_s=%.0f"
                        + " messages_per_s=%.1f heap_kib=%.0f%n",
                c.hosts(),
                c.endpoints(),
                c.cpuShare(),
                c.bytes(),
                c.messages(),
                c.heapBytes() / KIB);
    }

    private static void slope(String by, MembershipCost from, MembershipCost to, int steps) {
        System.out.printf(
                Locale.ROOT,
                "slope_by=%s cpu_share=%.2e bytes_per_s=%.2f heap_bytes=%.0f%n",
                by,
                (to.cpuShare() - from.cpuShare()) / steps,
                (to.bytes() - from.bytes()) / steps,
                (to.heapBytes() - from.heapBytes()) / steps);
    }
}
