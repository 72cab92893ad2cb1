package io.siskintrail.bench.promises;

import io.siskintrail.lib.ResultCode;
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
    private static final int FLOOD_CALLERS = 200;
    private static final int ENGINES = 9;
    private static final int MAX_POISON_SENDS = 20;
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
        faults.add(new Fault("control.second.loss", this::secondLoss));
        faults.add(new Fault("flood.bulk", () -> flood("example-key-schools")));
        faults.add(new Fault("flood.urgent", () -> flood("example-key-clinics")));
        faults.add(new Fault("poisonous.request", this::poison));
        faults.add(new Fault("rolling.restart", this::rollingRestart));
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

    private void rollingRestart() throws IOException, InterruptedException {
        for (String router : deployment.names("router")) {
            stopGracefully(router);
            Thread.sleep(SHORT_MILLIS);
        }
        for (String control : deployment.names("control")) {
            deployment.terminate(control, DRAIN_SECONDS);
            deployment.start(control);
            Thread.sleep(SHORT_MILLIS);
        }
    }

    private void flood(String apiKey) throws InterruptedException {
        traffic.flood(FLOOD_CALLERS, LONG_MILLIS, apiKey, random.nextLong());
        Thread.sleep(LONG_MILLIS);
    }

    /** Sends one content under new keys until it is quarantined, as its caller would. */
    private void poison() throws IOException, InterruptedException {
        for (int i = 1; i <= ENGINES; i++) {
            order("engine-" + i, "die-on-deadly");
        }
        int sends = 0;
        int code = 0;
        while (sends < MAX_POISON_SENDS && code != ResultCode.REQUEST_QUARANTINED.number()) {
            code = traffic.single("deadly content", "example-key-courts").code();
            sends++;
        }
        System.out.printf("poisonous.request sends=%d code=%d%n", sends, code);
        for (int i = 1; i <= ENGINES; i++) {
            order("engine-" + i, "restart-if-down");
        }
    }

    private void secondLoss() throws IOException, InterruptedException {
        deployment.kill("control-1");
        Thread.sleep(LONG_MILLIS);
        deployment.kill("control-2");
        Thread.sleep(LONG_MILLIS);
        deployment.start("control-1");
        deployment.start("control-2");
    }

    private void routerStopped() throws IOException, InterruptedException {
        stopGracefully(pick("router"));
    }

    private void stopGracefully(String router) throws IOException, InterruptedException {
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
