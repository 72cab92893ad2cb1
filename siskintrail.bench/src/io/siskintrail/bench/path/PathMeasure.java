package io.siskintrail.bench.path;

import io.siskintrail.fake.FakeEngine;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/** Measures one router: throughput, added latency, heap and processor time of open streams. */
public final class PathMeasure {
    private static final int ENGINES = 10;
    private static final int SLOTS = 400;
    private static final int TOKEN_MILLIS = 40;
    private static final int TOKENS = 100;
    private static final int LATENCY_REQUESTS = 100;
    private static final int SILENCE_MILLIS = 30_000;
    private static final int SEED = 5;
    private static final int[] STREAMS = {200, 1_000};
    private static final long RUN_MILLIS = 30_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MAX_MICROS = 60_000_000;
    private static final Pattern TOTAL = Pattern.compile("Total\\s+\\d+\\s+(\\d+)");

    private PathMeasure() {}

    /** Runs the experiment and prints its figures. */
    public static int run(String[] args) throws Exception {
        int wrong = 0;
        Load[] loads = new Load[STREAMS.length];
        Histogram routed;
        Histogram direct;
        try (PathDeployment d = new PathDeployment(1, false, ENGINES, SLOTS, TOKEN_MILLIS, 1)) {
            Load warm = load(d, STREAMS[0]);
            wrong += warm.wrong;
            for (int i = 0; i < STREAMS.length; i++) {
                loads[i] = load(d, STREAMS[i]);
                wrong += loads[i].wrong;
            }
            FakeEngine engine = d.engines().get(0);
            String routerAddress = d.routers().get(0).address();
            String engineAddress =
                    engine.address().getHostString() + ":" + engine.address().getPort();
            firstTokens(routerAddress, true);
            routed = firstTokens(routerAddress, true);
            firstTokens(engineAddress, false);
            direct = firstTokens(engineAddress, false);
        }
        Load small = loads[0];
        Load large = loads[STREAMS.length - 1];
        int more = large.streams - small.streams;
        System.out.printf(
                "direct_first_p50_us=%d direct_first_p99_us=%d routed_first_p50_us=%d"
                        + " routed_first_p99_us=%d%n",
                direct.getValueAtPercentile(50),
                direct.getValueAtPercentile(99),
                routed.getValueAtPercentile(50),
                routed.getValueAtPercentile(99));
        System.out.printf(
                "streams=%d tokens_per_s=%.0f added_p50_us=%d added_p99_us=%d"
                        + " heap_bytes_per_stream=%d heap_slope_bytes_per_stream=%d"
                        + " cpu_us_per_token=%.1f cpu_us_per_token_at_%d=%.1f wrong_answers=%d%n",
                large.streams,
                large.tokensPerSecond,
                routed.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
                routed.getValueAtPercentile(99) - direct.getValueAtPercentile(99),
                large.heapBytes / large.streams,
                (large.heapBytes - small.heapBytes) / more,
                large.cpuMicrosPerToken,
                small.streams,
                small.cpuMicrosPerToken,
                wrong);
        return wrong == 0 ? 0 : 1;
    }

    private static Load load(PathDeployment d, int streams) throws Exception {
        RouterProcess router = d.routers().get(0);
        Load load = new Load();
        load.streams = streams;
        long heapBefore = heapBytes(router);
        long cpuBefore = router.cpuTime().toNanos();
        long begin = System.nanoTime();
        List<ReconnectingCaller> callers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            ReconnectingCaller caller =
                    new ReconnectingCaller(
                            router::address,
                            "load-" + i + "-" + begin,
                            "load " + i,
                            SEED,
                            TOKENS,
                            SILENCE_MILLIS);
            Thread thread = new Thread(null, caller, "caller", 1 << 17);
            thread.setDaemon(true);
            thread.start();
            callers.add(caller);
            threads.add(thread);
        }
        while (callers.stream().anyMatch(c -> c.received() < TOKENS / 2 && !c.isOver())) {
            Thread.sleep(TOKEN_MILLIS);
        }
        long open = callers.stream().filter(c -> !c.isOver()).count();
        load.heapBytes = open == streams ? heapBytes(router) - heapBefore : 0;
        for (Thread thread : threads) {
            thread.join(RUN_MILLIS);
        }
        double seconds = (System.nanoTime() - begin) / 1e9;
        load.tokensPerSecond = (double) streams * TOKENS / seconds;
        load.cpuMicrosPerToken =
                (router.cpuTime().toNanos() - cpuBefore)
                        / (double) NANOS_PER_MICRO
                        / ((double) streams * TOKENS);
        for (int i = 0; i < streams; i++) {
            List<Integer> right = PathDeployment.expected("load " + i, SEED, TOKENS);
            load.wrong += callers.get(i).tokens().equals(right) ? 0 : 1;
        }
        return load;
    }

    /** Returns the time from request to first token of requests one after another. */
    private static Histogram firstTokens(String address, boolean routed) throws IOException {
        Histogram times = new Histogram(MAX_MICROS, 3);
        for (int i = 0; i < LATENCY_REQUESTS; i++) {
            times.recordValue(FirstToken.micros(address, "latency " + routed + i));
        }
        return times;
    }

    /** Collects garbage in the router and returns the bytes of what is left. */
    private static long heapBytes(RouterProcess router) throws IOException {
        Process jcmd =
                new ProcessBuilder("jcmd", Long.toString(router.pid()), "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        Matcher m = TOTAL.matcher(text);
        if (!m.find()) {
            throw new IOException("jcmd gave no histogram");
        }
        return Long.parseLong(m.group(1));
    }

    /** Figures of one number of streams. */
    private static final class Load {
        private int streams;
        private int wrong;
        private long heapBytes;
        private double tokensPerSecond;
        private double cpuMicrosPerToken;
    }
}
