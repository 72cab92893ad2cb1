package io.siskintrail.bench.promises;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Makes the faults of a run, one after another, in an order that a seed picks. */
final class Faults {
    private static final long SHORT_MILLIS = 3_000;
    private static final long LONG_MILLIS = 12_000;
    private static final long DRAIN_SECONDS = 40;
    private static final long CALL_MILLIS = 2_000;
    private static final List<String> CHUNK_FAULTS =
            List.of("LOSE_CHUNK", "REPEAT_CHUNK", "CROSS_CHUNKS", "RESET", "DELAY_CHUNK");
    private static final List<String> SERVICE_FAULTS =
            List.of("RESET_BEFORE", "RESET_AFTER", "NO_ANSWER");

    private final Deployment deployment;
    private final Http http;
    private final Traffic traffic;
    private final Random random;
    private final List<String> cut = new ArrayList<>();

    Faults(Deployment deployment, Http http, Traffic traffic, long seed) {
        this.deployment = deployment;
        this.http = http;
        this.traffic = traffic;
        this.random = new Random(seed);
    }

    /** Returns the streams that a graceful shutdown cut. */
    List<String> cut() {
        return cut;
    }

    /** Makes every fault once. */
    void all() throws IOException, InterruptedException {
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault("engine.killed", this::engineKilled));
        faults.add(new Fault("engine.paused", this::enginePaused));
        faults.add(new Fault("chunks.wrong", this::chunksWrong));
        faults.add(new Fault("service.faults", this::serviceFaults));
        faults.add(new Fault("router.killed", this::routerKilled));
        faults.add(new Fault("router.paused", this::routerPaused));
        faults.add(new Fault("router.stopped", this::routerStopped));
        faults.add(new Fault("control.killed", this::controlKilled));
        faults.add(new Fault("control.isolated", this::controlPaused));
        faults.add(new Fault("control.disk.lost", this::diskLost));
        Collections.shuffle(faults, random);
        for (Fault fault : faults) {
            System.out.println("fault=" + fault.name);
            fault.action.run();
            Thread.sleep(SHORT_MILLIS);
        }
    }

    /** Makes a few faults that need little time. */
    void few() throws IOException, InterruptedException {
        engineKilled();
        chunksWrong();
        serviceFaults();
        routerKilled();
        routerStopped();
        controlKilled();
    }

    private void engineKilled() throws IOException, InterruptedException {
        String engine = "engine-" + (1 + random.nextInt(9));
        order(engine, "kill");
        Thread.sleep(SHORT_MILLIS);
        order(engine, "restart");
    }

    private void enginePaused() throws IOException, InterruptedException {
        String engine = "engine-" + (1 + random.nextInt(9));
        order(engine, "pause");
        Thread.sleep(LONG_MILLIS);
        order(engine, "resume");
    }

    private void chunksWrong() throws IOException, InterruptedException {
        for (String fault : CHUNK_FAULTS) {
            order("engine-" + (1 + random.nextInt(9)), fault);
        }
    }

    private void serviceFaults() throws IOException, InterruptedException {
        for (String fault : SERVICE_FAULTS) {
            order("depot-" + (1 + random.nextInt(3)), fault);
        }
    }

    private void routerKilled() throws IOException, InterruptedException {
        String router = pick("router");
        deployment.kill(router);
        Thread.sleep(SHORT_MILLIS);
        deployment.start(router);
    }

    private void routerPaused() throws IOException, InterruptedException {
        String router = pick("router");
        deployment.pause(router);
        Thread.sleep(LONG_MILLIS);
        deployment.resume(router);
    }

    private void routerStopped() throws IOException, InterruptedException {
        String router = pick("router");
        List<GenerationCaller> streams =
                traffic.streamsAt(deployment.address(router, "httpAddress"));
        List<String> before = streams.stream().map(GenerationCaller::lastFault).toList();
        boolean ended = deployment.terminate(router, DRAIN_SECONDS);
        for (int i = 0; i < streams.size(); i++) {
            String after = streams.get(i).lastFault();
            cut.add(after.equals(before.get(i)) ? null : after);
        }
        cut.add(ended ? null : router + " did not end");
        deployment.start(router);
    }

    private void controlKilled() throws IOException, InterruptedException {
        String control = "control-" + (1 + random.nextInt(3));
        deployment.kill(control);
        Thread.sleep(SHORT_MILLIS);
        deployment.start(control);
    }

    private void controlPaused() throws IOException, InterruptedException {
        String control = "control-" + (1 + random.nextInt(3));
        deployment.pause(control);
        Thread.sleep(LONG_MILLIS);
        deployment.resume(control);
    }

    private void diskLost() throws IOException, InterruptedException {
        String control = "control-" + (1 + random.nextInt(3));
        deployment.kill(control);
        deployment.loseDisk(control);
        Thread.sleep(LONG_MILLIS);
        deployment.start(control);
    }

    void order(String endpoint, String action) throws IOException, InterruptedException {
        String path = "/endpoints/" + endpoint + "/" + action;
        http.post(deployment.address("fake", "adminAddress"), path, "-", "", CALL_MILLIS);
    }

    private String pick(String role) {
        List<String> running = deployment.names(role).stream().filter(deployment::runs).toList();
        return running.get(random.nextInt(running.size()));
    }

    private record Fault(String name, Action action) {}

    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }
}
