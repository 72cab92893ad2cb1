package io.siskintrail.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs edges and registries as processes that serve client traffic, injects faults that a seed
 * selects, checks that the system recovers, and returns the violated guarantees.
 */
final class SoakRun {
    private static final int CLIENT_COUNT = 6;

    /**
     * Number of values of the second byte of the addresses, which depends on the process id, and of
     * the third byte, which depends on the seed. Concurrent runs thus use different addresses.
     */
    private static final int VALUES_PER_SUBNET_BYTE = 200;

    private static final int MAX_DELAY_BETWEEN_FAULTS_MILLIS = 500;
    private static final int MAX_FAULT_DURATION_MILLIS = 1_500;
    private static final int POLL_INTERVAL_MILLIS = 150;
    private static final int MEAN_OPERATOR_INTERVAL_MILLIS = 250;

    /**
     * Maximum time from the acknowledgement of an endpoint's draining report to the last request
     * that arrives at the endpoint, with slack for a busy machine.
     */
    private static final long DRAIN_TIME_MILLIS = 2_500;

    /** Timeout of each wait. Ends a hung run; does not check how fast the system recovers. */
    private static final long WAIT_TIMEOUT_SECONDS = 90;

    private final long seed;
    private final Profile profile;
    private final SplittableRandom random;
    private final SoakRecorder recorder = new SoakRecorder();
    private final List<String> injectedFaults = new ArrayList<>();
    private volatile boolean stopped;
    private volatile boolean randomOperatorActionsEnabled = true;
    private SoakSystem system;
    private SoakRegistryClient operatorClient;

    /** Which faults a run injects. */
    enum Profile {
        /** Faults of all kinds, one after another. */
        SINGLE_FAULTS,
        /** Planned work in series that overlap, with clients that keep their connections. */
        PLANNED_SERIES,
        /** Series with unplanned ends besides, and endpoints that answer twice. */
        SECOND_ANSWERS
    }

    SoakRun(long seed, Profile profile) {
        this.seed = seed;
        this.profile = profile;
        this.random = new SplittableRandom(seed);
    }

    /** Step that begins or ends a process fault. */
    private interface FaultStep {
        void run() throws Exception;
    }

    /**
     * Runs the faults that the seed selects.
     *
     * @param folder receives settings, logs and data
     * @param faultCount number of faults or series that are injected one after another; proxy
     *     faults that overlap a process fault are not counted
     * @return the violated guarantees, empty if all held
     */
    List<String> run(Path folder, int faultCount) throws Exception {
        long processId = ProcessHandle.current().pid();
        String subnet =
                "127.%d.%d"
                        .formatted(
                                10 + processId % VALUES_PER_SUBNET_BYTE,
                                1 + seed % VALUES_PER_SUBNET_BYTE);
        try (SoakSystem startedSystem =
                new SoakSystem(folder, subnet, recorder, this::newSecondAnswers)) {
            system = startedSystem;
            operatorClient = new SoakRegistryClient(system.callProxies(), recorder, seed);
            await(
                    "acknowledgement of the first configuration",
                    operatorClient::putNextConfiguration);
            system.disableBootstrap();
            List<Thread> threads = new ArrayList<>();
            threads.add(start(this::sendReports));
            threads.add(start(this::runOperator));
            threads.add(start(this::superviseAll));
            SoakClients clients = new SoakClients(system, recorder);
            if (profile == Profile.SECOND_ANSWERS) {
                clients.startTwice(random);
            } else {
                clients.startPlain(CLIENT_COUNT, seed);
            }
            await("the first response", () -> recorder.count("status 200") > 0);
            if (profile == Profile.PLANNED_SERIES) {
                clients.startKept(random);
            }
            for (int i = 0; i < faultCount; i++) {
                Http.sleep(random.nextInt(MAX_DELAY_BETWEEN_FAULTS_MILLIS));
                injectNext();
            }
            checkRecovery();
            clients.stop();
            stopped = true;
            clients.awaitEnd();
            for (Thread thread : threads) {
                thread.join();
            }
        }
        return recorder.violations();
    }

    private Optional<SoakTwiceEndpoint> newSecondAnswers() {
        return profile == Profile.SECOND_ANSWERS
                ? Optional.of(new SoakTwiceEndpoint(recorder, random.nextLong()))
                : Optional.empty();
    }

    private void injectNext() throws Exception {
        if (profile == Profile.SINGLE_FAULTS) {
            injectFault(random.nextInt(12));
            return;
        }
        boolean unplanned = profile == Profile.SECOND_ANSWERS;
        SoakSeries series = new SoakSeries(system, operatorClient, recorder, random, unplanned);
        injectedFaults.add("[" + series.run() + "]");
    }

    /** Returns the seed, the injected faults in order and the counters. */
    String summary() {
        return "seed=%d faults=%s counted=%s cut=%s"
                .formatted(seed, injectedFaults, recorder, recorder.calls().countCut());
    }

    /**
     * Injects a fault and returns after the fault has ended.
     *
     * @param faultKind 0 to 11
     */
    private void injectFault(int faultKind) throws Exception {
        int edgeIndex = random.nextInt(system.edges().size());
        int registryIndex = random.nextInt(system.registries().size());
        int durationMillis = random.nextInt(MAX_FAULT_DURATION_MILLIS);
        SoakProcess edgeProcess = system.edges().get(edgeIndex);
        SoakProcess registryProcess = system.registries().get(registryIndex);
        switch (faultKind) {
            case 0 ->
                    injectProcessFault(
                            "kill edge " + edgeIndex,
                            durationMillis,
                            edgeProcess::kill,
                            edgeProcess::start);
            case 1 ->
                    injectProcessFault(
                            "terminate edge " + edgeIndex,
                            0,
                            () -> terminateGracefully(edgeProcess),
                            edgeProcess::start);
            case 2 -> pauseProcess("edge " + edgeIndex, edgeProcess, durationMillis);
            case 3 ->
                    injectProcessFault(
                            "kill registry " + registryIndex,
                            durationMillis,
                            registryProcess::kill,
                            registryProcess::start);
            case 4 -> {
                long earlierLogLines = system.countRemovalLogLines(registryIndex);
                injectProcessFault(
                        "wipe registry " + registryIndex,
                        durationMillis,
                        () -> killAndDeleteData(registryIndex),
                        () -> restartWithoutData(registryIndex, earlierLogLines));
            }
            case 5 -> pauseProcess("registry " + registryIndex, registryProcess, durationMillis);
            case 6 ->
                    injectProcessFault(
                            "torn write at registry " + registryIndex,
                            durationMillis,
                            () -> killWithTornWrite(registryIndex),
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
                            "operator", system.callProxies().get(registryIndex), durationMillis);
            case 10 ->
                    injectProxyFault(
                            "clients", system.frontProxies().get(edgeIndex), durationMillis);
            default -> injectProxyFault("endpoint", randomEndpoint().proxy(), durationMillis);
        }
    }

    /**
     * Injects a process fault and returns after the fault has ended. For one fault in three, on
     * average, a proxy fault at an endpoint is injected before the process fault ends.
     */
    private void injectProcessFault(
            String description, int durationMillis, FaultStep beginFault, FaultStep endFault)
            throws Exception {
        injectedFaults.add(description);
        beginFault.run();
        Http.sleep(durationMillis);
        if (random.nextInt(3) == 0) {
            injectProxyFault("endpoint", randomEndpoint().proxy(), durationMillis / 2);
        }
        endFault.run();
    }

    /**
     * Stops a process by SIGSTOP, resumes the process by SIGCONT, and then sends SIGHUP, on which
     * the program reads its settings file again.
     */
    private void pauseProcess(String processName, SoakProcess process, int durationMillis)
            throws Exception {
        injectProcessFault(
                "pause " + processName,
                durationMillis,
                () -> process.signal("STOP"),
                () -> process.signal("CONT"));
        process.signal("HUP");
    }

    /** Injects a random fault other than {@code NONE} and returns after the fault has ended. */
    private void injectProxyFault(String target, FaultProxy proxy, int durationMillis) {
        FaultProxy.Fault[] faults = FaultProxy.Fault.values();
        FaultProxy.Fault fault = faults[1 + random.nextInt(faults.length - 1)];
        injectedFaults.add("%s %s".formatted(fault, target));
        proxy.setFault(fault);
        Http.sleep(durationMillis);
        proxy.setFault(FaultProxy.Fault.NONE);
    }

    /** Gives an endpoint a random behavior other than {@code NORMAL} for a time. */
    private void degradeEndpoint(int durationMillis) {
        SoakEndpoint.Behavior[] behaviors = SoakEndpoint.Behavior.values();
        SoakEndpoint.Behavior behavior = behaviors[1 + random.nextInt(behaviors.length - 1)];
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
            recorder.recordViolation("an edge did not terminate within the timeout");
        }
        String log = edge.logSinceStart();
        // If the signal ends the Java runtime before the program starts, neither event is logged.
        if (log.contains("event=edge.started") && !log.contains("event=edge.stopped")) {
            recorder.recordViolation("an edge terminated without logging edge.stopped");
        }
    }

    private void killAndDeleteData(int registryIndex) throws Exception {
        system.registries().get(registryIndex).kill();
        system.deleteData(registryIndex);
    }

    /**
     * Starts a registry with an empty disk and waits until the other registries have replaced the
     * lost replica. The deployment tolerates the loss of one disk, so no other disk may be lost
     * before the replica has been replaced.
     *
     * @param earlierLogLines number of log lines, before the loss, that report the removal of a
     *     replica of the registry from the replica set
     */
    private void restartWithoutData(int registryIndex, long earlierLogLines) throws Exception {
        system.registries().get(registryIndex).start();
        await("a configuration read after a lost disk", operatorClient::readConfiguration);
        await(
                "the replacement of the lost replica",
                () -> system.countRemovalLogLines(registryIndex) > earlierLogLines);
    }

    private void killWithTornWrite(int registryIndex) throws Exception {
        system.registries().get(registryIndex).kill();
        system.appendTornWrite(registryIndex);
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

    /**
     * Checks, after the last fault has ended, that configurations, calls and streams work again and
     * that an endpoint that drains gets no more requests.
     */
    private void checkRecovery() throws Exception {
        randomOperatorActionsEnabled = false;
        await("acknowledgement of the last configuration", operatorClient::putNextConfiguration);
        await("a read of the last configuration", operatorClient::readConfiguration);
        int callsBefore = recorder.count("status 200");
        int streamsBefore = recorder.count("stream 200");
        await(
                "calls after the faults",
                () -> recorder.count("status 200") > callsBefore + CLIENT_COUNT);
        await(
                "streams after the faults",
                () -> recorder.count("stream 200") > streamsBefore + CLIENT_COUNT);
        SoakEndpoint drainingEndpoint = randomEndpoint();
        drainingEndpoint.drain();
        await(
                "acknowledgement of a draining endpoint",
                () -> drainingEndpoint.sendReport(operatorClient));
        Http.sleep(DRAIN_TIME_MILLIS);
        int requestsBefore = drainingEndpoint.requestCount();
        Http.sleep(MAX_FAULT_DURATION_MILLIS);
        if (drainingEndpoint.requestCount() > requestsBefore) {
            recorder.recordViolation("requests arrived at an endpoint after its drain");
        }
        for (SoakProcess process : system.processes()) {
            supervise(process);
        }
    }

    /**
     * Restarts processes that end unexpectedly, as the platform does, until the run stops. Such an
     * end is a violation, unless SIGHUP terminated the process before the program had installed a
     * signal handler.
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
            if (state == SoakProcess.State.EXITED_UNEXPECTEDLY) {
                recorder.recordViolation("a process exited unexpectedly");
            }
            if (state != SoakProcess.State.AS_EXPECTED) {
                recorder.increment("restarted");
            }
        } catch (IOException e) {
            recorder.recordViolation("a process cannot be supervised: " + e.getMessage());
        }
    }

    /**
     * Waits until a condition holds. Records a violation and returns if the condition does not hold
     * within {@link #WAIT_TIMEOUT_SECONDS}.
     *
     * @param description what is waited for, for the text of the violation
     */
    private void await(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                recorder.recordViolation("timed out waiting for: " + description);
                return;
            }
            Http.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void sendReports() {
        SoakRegistryClient reportingClient =
                new SoakRegistryClient(system.callProxies(), recorder, -seed);
        while (!stopped) {
            for (SoakEndpoint endpoint : system.endpoints()) {
                endpoint.sendReport(reportingClient);
            }
            Http.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void runOperator() {
        SplittableRandom operatorRandom = new SplittableRandom(seed ^ 1);
        while (!stopped) {
            Http.sleep(operatorRandom.nextInt(2 * MEAN_OPERATOR_INTERVAL_MILLIS));
            if (randomOperatorActionsEnabled) {
                runOperatorAction(operatorRandom.nextInt(6));
            }
        }
    }

    /**
     * Sends a configuration to a registry or reads one, as an operator does.
     *
     * @param actionKind 0 to 5
     */
    private void runOperatorAction(int actionKind) {
        switch (actionKind) {
            case 0, 1, 2 -> operatorClient.putNextConfiguration();
            case 3 -> operatorClient.putInvalidConfiguration();
            case 4 -> operatorClient.putOlderConfiguration();
            default -> operatorClient.readConfiguration();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
