package io.siskintrail.bench.promises;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers of both ranks, of orders and of lookups, each on a thread of its own. */
final class Traffic {
    private static final long FINISH_SECONDS = 90;
    private static final int SHORT_TOKENS = 20;
    private static final int LONG_TOKENS = 400;
    private static final int LONG_IN_100 = 30;
    private static final long PAUSE_MILLIS = 100;
    private static final String MODEL = "quoting";

    private final Http http;
    private final Balancer balancer;
    private final List<GenerationEvidence> generations = new ArrayList<>();
    private final List<OrderEvidence> orders = new ArrayList<>();
    private final Set<GenerationCaller> streaming = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Exception> faults = new ConcurrentLinkedQueue<>();
    private final AtomicInteger serial = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private volatile boolean stopped;

    Traffic(Http http, Balancer balancer) {
        this.http = http;
        this.balancer = balancer;
    }

    void start(int generationCallers, int orderCallers, long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < generationCallers; i++) {
            long own = random.nextLong();
            threads.submit(() -> loop(new Random(own), this::generate));
        }
        for (int i = 0; i < orderCallers; i++) {
            long own = random.nextLong();
            threads.submit(() -> loop(new Random(own), this::order));
        }
    }

    /** Stops to make requests and waits for those in flight. */
    void finish() throws InterruptedException {
        stopped = true;
        threads.shutdown();
        if (!threads.awaitTermination(FINISH_SECONDS, TimeUnit.SECONDS)) {
            threads.shutdownNow();
            threads.awaitTermination(1, TimeUnit.SECONDS);
        }
    }

    /** Returns the streams that are connected to {@code router} now. */
    List<GenerationCaller> streamsAt(String router) {
        return streaming.stream().filter(c -> c.lastRouter().equals(router)).toList();
    }

    synchronized List<GenerationEvidence> generations() {
        return List.copyOf(generations);
    }

    synchronized List<OrderEvidence> orders() {
        return List.copyOf(orders);
    }

    List<Exception> faults() {
        return List.copyOf(faults);
    }

    /** Adds callers of one account for a while, far more than the fleet can take. */
    void flood(int callers, long millis, String apiKey, long seed) {
        long until = System.currentTimeMillis() + millis;
        for (int i = 0; i < callers; i++) {
            Random random = new Random(seed + i);
            threads.submit(
                    () -> {
                        while (System.currentTimeMillis() < until && !stopped) {
                            generate(random, apiKey, SHORT_TOKENS);
                        }
                        return null;
                    });
        }
    }

    /** Sends one prompt; returns what its caller saw. Not part of the evidence. */
    GenerationEvidence single(String prompt, String apiKey) throws InterruptedException {
        String key = "single-" + serial.incrementAndGet();
        return new GenerationCaller(http, balancer, key, MODEL, prompt, 1, SHORT_TOKENS)
                .run(apiKey);
    }

    private void loop(Random random, Step step) {
        while (!stopped) {
            try {
                step.run(random);
                Thread.sleep(random.nextInt((int) PAUSE_MILLIS));
            } catch (InterruptedException e) {
                return;
            } catch (Exception e) {
                faults.add(e);
            }
        }
    }

    private void generate(Random random) throws InterruptedException {
        boolean isLong = random.nextInt(100) < LONG_IN_100;
        generate(
                random,
                isLong ? "example-key-schools" : "example-key-clinics",
                isLong ? LONG_TOKENS : SHORT_TOKENS);
    }

    private void generate(Random random, String apiKey, int tokens) throws InterruptedException {
        String key = "g" + serial.incrementAndGet();
        String prompt = key + " assess the chairs";
        GenerationCaller caller =
                new GenerationCaller(http, balancer, key, MODEL, prompt, random.nextInt(), tokens);
        streaming.add(caller);
        GenerationEvidence evidence = caller.run(apiKey);
        streaming.remove(caller);
        synchronized (this) {
            generations.add(evidence);
        }
    }

    private void order(Random random) throws InterruptedException {
        String key = "order-" + serial.incrementAndGet();
        OrderEvidence evidence =
                new OrderCaller(http, balancer, key)
                        .run("/services/depot/work-orders", "example-key-workshop");
        synchronized (this) {
            orders.add(evidence);
        }
    }

    @FunctionalInterface
    private interface Step {
        void run(Random random) throws Exception;
    }
}
