package io.siskintrail.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs the programs as processes under traffic, injects the faults of one seed, ends the faults,
 * and returns which guarantees were violated.
 */
final class SoakRun {
    private static final int CLIENTS = 6;

    /** Number of loopback subnets, so that concurrent runs use different addresses. */
    private static final int SUBNETS = 200;

    private static final int MAX_FAULT_GAP_MILLIS = 500;
    private static final int MAX_FAULT_MILLIS = 1_500;
    private static final int POLL_INTERVAL_MILLIS = 150;
    private static final int MEAN_CHANGE_INTERVAL_MILLIS = 250;

    /** Time to drain after a registry acknowledged it, with slack for a busy machine. */
    private static final long DRAIN_TIME_MILLIS = 2_500;

    /** Limit for recovery; it ends a hung run and is no bound on the recovery time. */
    private static final long RECOVERY_TIMEOUT_SECONDS = 90;

    private final long seed;
    private final SplittableRandom random;
    private final SoakRecorder recorder = new SoakRecorder();
    private final List<String> injectedFaults = new ArrayList<>();
    private volatile boolean stopped;
    private volatile boolean operatorActive = true;
    private SoakSystem system;
    private SoakRegistryClient operator;

    SoakRun(long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
    }

    /** Begins or ends a fault. */
    private interface Action {
        void run() throws Exception;
    }

    /**
     * Runs the faults that the seed selects.
     *
     * @param folder receives settings, logs and data
     * @param faultCount number of injected faults
     * @return the violated guarantees, empty if all held
     */
    List<String> run(Path folder, int faultCount) throws Exception {
        long processId = ProcessHandle.current().pid();
        String subnet = "127.%d.%d".formatted(10 + processId % SUBNETS, 1 + seed % SUBNETS);
        try (SoakSystem started = new SoakSystem(folder, subnet, recorder)) {
            system = started;
            operator = new SoakRegistryClient(system.callProxies(), recorder, seed);
            await("acknowledgement of the first configuration", operator::putNextConfiguration);
            system.disableFounding();
            List<SoakClient> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            threads.add(start(this::sendReports));
            threads.add(start(this::runOperator));
            threads.add(start(this::superviseAll));
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient c = new SoakClient(i, system.frontProxies(), recorder, seed + i);
                clients.add(c);
                threads.add(start(c));
            }
            await("the first response", () -> recorder.count("status 200") > 0);
            for (int i = 0; i < faultCount; i++) {
                Http.sleep(random.nextInt(MAX_FAULT_GAP_MILLIS));
                injectFault(random.nextInt(12));
            }
            checkRecovery();
            clients.forEach(SoakClient::stop);
            stopped = true;
            for (Thread t : threads) {
                t.join();
            }
        }
        return recorder.violations();
    }

    /** Returns the seed, the injected faults in order and the counters. */
    String summary() {
        return "seed=%d faults=%s counted=%s".formatted(seed, injectedFaults, recorder);
    }

    private void injectFault(int kind) throws Exception {
        int edge = random.nextInt(system.edges().size());
        int registry = random.nextInt(system.registries().size());
        int durationMillis = random.nextInt(MAX_FAULT_MILLIS);
        SoakProcess edgeProcess = system.edges().get(edge);
        SoakProcess registryProcess = system.registries().get(registry);
        switch (kind) {
            case 0 ->
                    injectProcessFault(
                            "kill edge " + edge,
                            durationMillis,
                            edgeProcess::kill,
                            edgeProcess::start);
            case 1 ->
                    injectProcessFault(
                            "terminate edge " + edge,
                            0,
                            () -> terminateGracefully(edgeProcess),
                            edgeProcess::start);
            case 2 -> pauseProcess("edge " + edge, edgeProcess, durationMillis);
            case 3 ->
                    injectProcessFault(
                            "kill registry " + registry,
                            durationMillis,
                            registryProcess::kill,
                            registryProcess::start);
            case 4 -> {
                long removals = system.removals(registry);
                injectProcessFault(
                        "wipe registry " + registry,
                        durationMillis,
                        () -> killAndWipe(registry),
                        () -> restartWiped(registry, removals));
            }
            case 5 -> pauseProcess("registry " + registry, registryProcess, durationMillis);
            case 6 ->
                    injectProcessFault(
                            "torn write at registry " + registry,
                            durationMillis,
                            () -> killWithTornWrite(registry),
                            registryProcess::start);
            case 7 ->
                    injectProcessFault(
                            "kill all registries",
                            durationMillis / 4,
                            this::killRegistries,
                            this::startRegistries);
            case 8 -> degradeEndpoint(durationMillis);
            case 9 ->
                    injectProxyFault(
                            "operator", system.callProxies().get(registry), durationMillis);
            case 10 -> injectProxyFault("clients", system.frontProxies().get(edge), durationMillis);
            default -> injectProxyFault("endpoint", randomEndpoint().proxy(), durationMillis);
        }
    }

    private void injectProcessFault(String name, int durationMillis, Action begin, Action end)
            throws Exception {
        injectedFaults.add(name);
        begin.run();
        Http.sleep(durationMillis);
        if (random.nextInt(3) == 0) {
            injectProxyFault("endpoint", randomEndpoint().proxy(), durationMillis / 2);
        }
        end.run();
    }

    private void pauseProcess(String name, SoakProcess process, int durationMillis)
            throws Exception {
        injectProcessFault(
                "pause " + name,
                durationMillis,
                () -> process.signal("STOP"),
                () -> process.signal("CONT"));
        process.signal("HUP");
    }

    private void injectProxyFault(String name, FaultProxy proxy, int durationMillis) {
        FaultProxy.Fault[] all = FaultProxy.Fault.values();
        FaultProxy.Fault fault = all[1 + random.nextInt(all.length - 1)];
        injectedFaults.add("%s %s".formatted(fault, name));
        proxy.setFault(fault);
        Http.sleep(durationMillis);
        proxy.setFault(FaultProxy.Fault.NONE);
    }

    private void degradeEndpoint(int durationMillis) {
        SoakEndpoint.Behavior[] all = SoakEndpoint.Behavior.values();
        SoakEndpoint.Behavior behavior = all[1 + random.nextInt(all.length - 1)];
        SoakEndpoint endpoint = randomEndpoint();
        injectedFaults.add("endpoint " + behavior);
        endpoint.setBehavior(behavior);
        Http.sleep(durationMillis);
        endpoint.setBehavior(SoakEndpoint.Behavior.NORMAL);
    }

    private SoakEndpoint randomEndpoint() {
        return system.endpoints().get(random.nextInt(system.endpoints().size()));
    }

    private void terminateGracefully(SoakProcess edge) throws Exception {
        if (!edge.terminate()) {
            recorder.recordViolation("an edge did not terminate within its grace period");
        }
        String log = edge.logSinceStart();
        // A signal can end the runtime before the program starts; then no stop is logged.
        if (log.contains("event=edge.started") && !log.contains("event=edge.stopped")) {
            recorder.recordViolation("an edge terminated without logging edge.stopped");
        }
    }

    private void killAndWipe(int registry) throws Exception {
        system.registries().get(registry).kill();
        system.wipeDisk(registry);
    }

    /**
     * Starts a registry with an empty disk and waits until the others have restored its replica.
     * Until then it counts as the one tolerated loss, so no other disk may be lost.
     *
     * @param removals number of earlier removals of replicas of this host from the replica set
     */
    private void restartWiped(int registry, long removals) throws Exception {
        system.registries().get(registry).start();
        await("a configuration read after a lost disk", operator::readConfiguration);
        await("the replacement of the lost replica", () -> system.removals(registry) > removals);
    }

    private void killWithTornWrite(int registry) throws Exception {
        system.registries().get(registry).kill();
        system.appendTornWrite(registry);
    }

    private void killRegistries() throws InterruptedException {
        for (SoakProcess process : system.registries()) {
            process.kill();
        }
    }

    private void startRegistries() throws IOException {
        for (SoakProcess process : system.registries()) {
            process.start();
        }
    }

    /** Checks that all services recover, and that an endpoint drains, without any fault. */
    private void checkRecovery() throws Exception {
        operatorActive = false;
        await("acknowledgement of the last configuration", operator::putNextConfiguration);
        await("a read of the last configuration", operator::readConfiguration);
        int calls = recorder.count("status 200");
        int streams = recorder.count("stream 200");
        await("calls after the faults", () -> recorder.count("status 200") > calls + CLIENTS);
        await("streams after the faults", () -> recorder.count("stream 200") > streams + CLIENTS);
        SoakEndpoint drainingEndpoint = randomEndpoint();
        drainingEndpoint.drain();
        await(
                "acknowledgement of a draining endpoint",
                () -> drainingEndpoint.sendReport(operator));
        Http.sleep(DRAIN_TIME_MILLIS);
        int before = drainingEndpoint.requestCount();
        Http.sleep(MAX_FAULT_MILLIS);
        if (drainingEndpoint.requestCount() > before) {
            recorder.recordViolation("requests arrived at an endpoint after its drain");
        }
        for (SoakProcess process : system.processes()) {
            supervise(process);
        }
    }

    /**
     * Supervises all processes and, as the platform does, restarts one that ended. The only
     * permitted unexpected end is by SIGHUP before the program has installed its signal handler.
     */
    private void superviseAll() {
        while (!stopped) {
            for (SoakProcess process : system.processes()) {
                supervise(process);
            }
            Http.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void supervise(SoakProcess process) {
        try {
            SoakProcess.State state = process.restartIfEnded();
            if (state == SoakProcess.State.EXITED) {
                recorder.recordViolation("a process exited unexpectedly");
            }
            if (state != SoakProcess.State.AS_EXPECTED) {
                recorder.increment("restarted");
            }
        } catch (IOException e) {
            recorder.recordViolation("a process cannot be supervised: " + e.getMessage());
        }
    }

    private void await(String awaited, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                recorder.recordViolation("timed out waiting for: " + awaited);
                return;
            }
            Http.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void sendReports() {
        SoakRegistryClient reporter = new SoakRegistryClient(system.callProxies(), recorder, -seed);
        while (!stopped) {
            for (SoakEndpoint e : system.endpoints()) {
                e.sendReport(reporter);
            }
            Http.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void runOperator() {
        SplittableRandom operatorRandom = new SplittableRandom(seed ^ 1);
        while (!stopped) {
            Http.sleep(operatorRandom.nextInt(2 * MEAN_CHANGE_INTERVAL_MILLIS));
            if (operatorActive) {
                runOperatorAction(operatorRandom.nextInt(6));
            }
        }
    }

    private void runOperatorAction(int kind) {
        switch (kind) {
            case 0, 1, 2 -> operator.putNextConfiguration();
            case 3 -> operator.putInvalidConfiguration();
            case 4 -> operator.putOlderConfiguration();
            default -> operator.readConfiguration();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
