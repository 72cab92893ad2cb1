package io.siskintrail.bench.orders;

import io.siskintrail.fake.CallPhase;
import io.siskintrail.fake.FakeService;
import io.siskintrail.fake.ServiceFault;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.lib.HostId;
import io.siskintrail.router.RouterService;
import io.siskintrail.wire.ControlStateCodec;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One fault at one step: an order at the first router, repeats at both, and what came of it. */
final class Cell {
    private static final String KEY = "order";
    private static final long PAUSE_MILLIS = 3_500;
    private static final long RECOVERY_MILLIS = 1_000;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long READY_MILLIS = 15_000;
    private static final long END_MILLIS = 40_000;
    private static final long RETRY_MILLIS = 400;
    private static final long CALL_FAULT_MILLIS = 100;

    private final Fault fault;
    private final Step step;
    private final Deployment deployment;
    private final Caller caller;
    private final CompletableFuture<Void> struck = new CompletableFuture<>();

    /**
     * What came of a cell.
     *
     * @param step where the fault struck
     * @param fault what went wrong
     * @param reached whether the step was reached
     * @param runs how often the order ran
     * @param falseNotRun requests that were told "not run" though they ran, or came after the run
     * @param differing answers that differ from the first one
     * @param ended whether a caller got an answer or was told that the outcome is unknown
     * @param told what the requests were told, in the order of their ends
     */
    record Outcome(
            Step step,
            Fault fault,
            boolean reached,
            int runs,
            long falseNotRun,
            long differing,
            boolean ended,
            List<Integer> told) {

        boolean isSafe() {
            return runs <= 1 && falseNotRun == 0 && differing == 0;
        }
    }

    Cell(Step step, Fault fault, Deployment deployment) {
        this.step = step;
        this.fault = fault;
        this.deployment = deployment;
        this.caller = new Caller(deployment, KEY);
    }

    Outcome run() throws Exception {
        awaitReady();
        arm();
        CompletableFuture<?> first = CompletableFuture.runAsync(() -> caller.send(0));
        waitFor(struck, RECOVERY_MILLIS);
        CompletableFuture<?> second = CompletableFuture.runAsync(() -> caller.send(1));
        waitFor(first, END_MILLIS);
        waitFor(second, END_MILLIS);
        repeatUntilEnded();
        Thread.sleep(SETTLE_MILLIS);
        caller.send(0);
        caller.send(1);
        return outcome();
    }

    private void repeatUntilEnded() throws InterruptedException {
        long end = System.currentTimeMillis() + END_MILLIS;
        for (int i = 0; System.currentTimeMillis() < end; i++) {
            if (caller.send(i % Deployment.ROUTERS).isFinal()) {
                return;
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    private Outcome outcome() {
        List<Caller.Told> told = caller.told();
        long falseNotRun =
                told.stream()
                        .filter(Caller.Told::isNotRun)
                        .filter(
                                t ->
                                        t.ranBefore() > 0
                                                || deployment.executionsOfRequest(t.request()) > 0)
                        .count();
        long bodies =
                told.stream()
                        .filter(Caller.Told::isAnswer)
                        .map(Caller.Told::body)
                        .distinct()
                        .count();
        return new Outcome(
                step,
                fault,
                struck.isDone(),
                deployment.executions(KEY),
                falseNotRun,
                Math.max(0, bodies - 1),
                told.stream().anyMatch(Caller.Told::isFinal),
                told.stream().map(Caller.Told::code).toList());
    }

    private void arm() {
        Trap trap = deployment.trap(0);
        trap.arm(step, this::strike);
        for (FakeService endpoint : deployment.endpoints()) {
            endpoint.onPhase(phase -> reached(trap, endpoint, phase));
        }
    }

    private void reached(Trap trap, FakeService endpoint, CallPhase phase) {
        boolean arrived = phase == CallPhase.ARRIVED;
        boolean resets = fault == Fault.MESSAGE_LOST && step == Step.CALL_EXECUTED;
        if (arrived && resets && !struck.isDone()) {
            endpoint.inject(ServiceFault.RESET_AFTER);
        }
        Trap.Verdict verdict = trap.reach(arrived ? Step.CALL_ARRIVED : Step.CALL_EXECUTED);
        if (verdict == Trap.Verdict.LOSE && arrived) {
            endpoint.inject(ServiceFault.RESET_BEFORE);
        }
    }

    private Trap.Verdict strike() {
        Trap.Verdict verdict = Trap.Verdict.PASS;
        switch (fault) {
            case ROUTER_KILLED -> killRouter();
            case ROUTER_PAUSED -> pauseRouter();
            case ROUTER_SETTLED -> settleRouter();
            case MESSAGE_LOST -> verdict = Trap.Verdict.LOSE;
            case MESSAGE_REPEATED -> verdict = Trap.Verdict.REPEAT;
            case LEADER_KILLED -> killControl(false);
            case CONTROL_LOST -> killControl(true);
            case ENDPOINTS_KILLED -> {
                killEndpoints();
                verdict = step.isControl() ? verdict : Trap.Verdict.LOSE;
            }
            case ENDPOINTS_LEAVE -> deployment.endpoints().forEach(FakeService::leave);
            default -> {}
        }
        struck.complete(null);
        return verdict;
    }

    private void killRouter() {
        deployment.trap(0).cut();
        soon(
                () -> {
                    deployment.killRouter(0);
                    pause(RECOVERY_MILLIS);
                    deployment.startRouter(0);
                });
        holdCall();
    }

    private void pauseRouter() {
        RouterService router = deployment.router(0);
        if (step.isControl() && step.name().endsWith("PROPOSED")) {
            pause(PAUSE_MILLIS);
        } else {
            router.onControlThread(() -> pause(PAUSE_MILLIS));
        }
    }

    private void settleRouter() {
        byte[] command =
                new ControlStateCodec()
                        .encodeCommand(
                                new ControlCommand.ToLedger(
                                        new LedgerCommand.SettleHost(new HostId("host-0"), 0)));
        waitFor(deployment.log().newClient().propose(command).toCompletableFuture(), END_MILLIS);
    }

    private void killControl(boolean majority) {
        deployment.log().kill(majority);
        soon(
                () -> {
                    pause(majority ? PAUSE_MILLIS : RECOVERY_MILLIS);
                    deployment.log().restart();
                });
    }

    private void killEndpoints() {
        soon(
                () -> {
                    deployment.endpoints().forEach(FakeService::kill);
                    pause(PAUSE_MILLIS);
                    deployment.endpoints().forEach(FakeService::restart);
                });
        holdCall();
    }

    /** Gives a fault that strikes from another thread time to cut the connection of a call. */
    private void holdCall() {
        pause(CALL_FAULT_MILLIS);
    }

    /** Waits until each router knows both endpoints and reaches the control log. */
    private void awaitReady() throws Exception {
        long end = System.currentTimeMillis() + READY_MILLIS;
        for (int router = 0; router < Deployment.ROUTERS; router++) {
            Caller probe = new Caller(deployment, "probe-" + router);
            while (!probe.send(router).isAnswer()) {
                if (System.currentTimeMillis() > end) {
                    throw new IllegalStateException("the deployment did not become ready");
                }
                Thread.sleep(RETRY_MILLIS / 4);
            }
        }
    }

    private static void soon(Runnable task) {
        Thread t = new Thread(task, "ledger-fault");
        t.setDaemon(true);
        t.start();
    }

    private static void waitFor(CompletableFuture<?> stage, long millis) {
        try {
            stage.get(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            System.err.println("ledger-faults: " + e);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
