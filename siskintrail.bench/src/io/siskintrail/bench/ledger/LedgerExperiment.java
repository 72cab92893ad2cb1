package io.siskintrail.bench.ledger;

import io.siskintrail.bench.Experiment;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Measures orders on three replicas with real files on loopback: group commit against one sync for
 * each entry, and the start after 100,000 records. Arguments: {@code [SECONDS [RECORDS [FOLDER]]]}.
 */
public final class LedgerExperiment implements Experiment {
    private static final int REPLICAS = 3;
    private static final int DEFAULT_SECONDS = 5;
    private static final int DEFAULT_RECORDS = 100_000;
    private static final int[] CONCURRENCY = {1, 16, 256};
    private static final int FILL_CONCURRENCY = 512;

    private final List<HostInfo> hosts = new ArrayList<>();
    private HostInfo router;
    private long orders;

    @Override
    public int run(String[] args) throws Exception {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SECONDS;
        int records = args.length > 1 ? Integer.parseInt(args[1]) : DEFAULT_RECORDS;
        Path folder =
                args.length > 2
                        ? Files.createDirectories(Path.of(args[2]))
                        : Files.createTempDirectory("siskintrail-ledger");
        for (int i = 0; i < REPLICAS; i++) {
            hosts.add(host("control-" + i));
        }
        router = host("router");
        try {
            measure(folder.resolve("each"), false, seconds);
            measure(folder.resolve("group"), true, seconds);
            measureStart(folder.resolve("group"), records);
        } finally {
            delete(folder);
        }
        return 0;
    }

    private void measure(Path folder, boolean grouped, int seconds) throws Exception {
        List<LedgerReplica> replicas = start(folder, grouped);
        try (LedgerClient client = new LedgerClient(router, hosts)) {
            new OrderLoad(client, orders, 1, 1).runOrders(20);
            orders += 20;
            for (int concurrency : CONCURRENCY) {
                OrderLoad load =
                        new OrderLoad(
                                client, orders, concurrency, TimeUnit.SECONDS.toNanos(seconds));
                load.run();
                orders = load.nextOrder();
                System.out.printf(
                        "ledger sync=%s concurrency=%d %s%n",
                        grouped ? "group" : "each", concurrency, load.figures());
            }
        } finally {
            replicas.forEach(LedgerReplica::close);
        }
    }

    private void measureStart(Path folder, int records) throws Exception {
        List<LedgerReplica> replicas = start(folder, true);
        long commit;
        try (LedgerClient client = new LedgerClient(router, hosts)) {
            OrderLoad load = new OrderLoad(client, orders, FILL_CONCURRENCY, Long.MAX_VALUE);
            load.runOrders(records);
            commit = replicas.stream().mapToLong(LedgerReplica::commitIndex).max().orElseThrow();
            System.out.printf("ledger fill_records=%d %s%n", records, load.figures());
        } finally {
            replicas.forEach(LedgerReplica::close);
        }
        long begin = System.nanoTime();
        List<LedgerReplica> again = open(folder, true);
        long opened = System.nanoTime();
        again.forEach(LedgerReplica::start);
        awaitLeader(again);
        while (again.stream().anyMatch(r -> r.commitIndex() < commit)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        long ready = System.nanoTime();
        System.out.printf(
                "ledger start_records=%d open_ms_per_replica=%d ready_ms=%d disk_mb=%d%n",
                records,
                TimeUnit.NANOSECONDS.toMillis(opened - begin) / REPLICAS,
                TimeUnit.NANOSECONDS.toMillis(ready - begin),
                size(folder) >> 20);
        again.forEach(LedgerReplica::close);
    }

    private List<LedgerReplica> start(Path folder, boolean grouped) throws Exception {
        List<LedgerReplica> replicas = open(folder, grouped);
        replicas.forEach(LedgerReplica::start);
        awaitLeader(replicas);
        return replicas;
    }

    private List<LedgerReplica> open(Path folder, boolean grouped) {
        List<LedgerReplica> replicas = new ArrayList<>();
        for (HostInfo host : hosts) {
            Path path = folder.resolve(host.id().value());
            replicas.add(new LedgerReplica(host, hosts, router, path, grouped));
        }
        return replicas;
    }

    private static void awaitLeader(List<LedgerReplica> replicas) throws InterruptedException {
        while (replicas.stream().noneMatch(LedgerReplica::leads)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static HostInfo host(String name) {
        return new HostInfo(new HostId(name), new FailureDomain("d-" + name), FreePorts.address());
    }

    private static long size(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile).mapToLong(f -> f.toFile().length()).sum();
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
