package io.siskintrail.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs the programs as processes under traffic, injects the faults of one seed from outside, heals
 * them, and returns which promises were broken.
 */
final class SoakRun {
    private static final int CALLERS = 6;

    /** Loopback networks that runs of several processes and seeds are spread over. */
    private static final int NETS = 200;

    private static final int FAULT_GAP_MILLIS = 500;
    private static final int LONGEST_FAULT_MILLIS = 1_500;
    private static final int REPORT_MILLIS = 150;
    private static final int CHANGE_MILLIS = 250;

    /** Bound after the acknowledgement of a leave in this soak, with slack for a busy machine. */
    private static final long DRAIN_MILLIS = 2_500;

    /** Time that a healed system is given; it bounds a run that hangs, not how fast it heals. */
    private static final long HEAL_SECONDS = 90;

    private final long seed;
    private final SplittableRandom random;
    private final SoakEvidence evidence = new SoakEvidence();
    private final List<String> story = new ArrayList<>();
    private volatile boolean over;
    private volatile boolean changing = true;
    private SoakSystem system;
    private SoakOperator operator;

    SoakRun(long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
    }

    /** The beginning or the end of a fault. */
    private interface Action {
        void run() throws Exception;
    }

    /**
     * Runs the seed.
     *
     * @param faults how many faults are injected
     * @return the broken promises
     */
    List<String> run(Path folder, int faults) throws Exception {
        long process = ProcessHandle.current().pid();
        String net = "127.%d.%d".formatted(10 + process % NETS, 1 + seed % NETS);
        try (SoakSystem started = new SoakSystem(folder, net, evidence)) {
            system = started;
            operator = new SoakOperator(system.callProxies(), evidence, seed);
            heal("the first configuration", operator::change);
            system.founded();
            List<SoakCaller> callers = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            threads.add(start(this::report));
            threads.add(start(this::change));
            threads.add(start(this::supervise));
            for (int i = 0; i < CALLERS; i++) {
                SoakCaller c = new SoakCaller(i, system.frontProxies(), evidence, seed + i);
                callers.add(c);
                threads.add(start(c));
            }
            heal("a first answer", () -> evidence.count("status 200") > 0);
            for (int i = 0; i < faults; i++) {
                Http.pause(random.nextInt(FAULT_GAP_MILLIS));
                inject(random.nextInt(12));
            }
            finish();
            callers.forEach(SoakCaller::stop);
            over = true;
            for (Thread t : threads) {
                t.join();
            }
        }
        return evidence.verdict();
    }

    /** Returns the faults in order and what was counted. */
    String story() {
        return "seed=%d faults=%s counted=%s".formatted(seed, story, evidence);
    }

    private void inject(int kind) throws Exception {
        int edge = random.nextInt(system.edges().size());
        int core = random.nextInt(system.registries().size());
        int pause = random.nextInt(LONGEST_FAULT_MILLIS);
        SoakHost edgeHost = system.edges().get(edge);
        SoakHost coreHost = system.registries().get(core);
        switch (kind) {
            case 0 -> fault("kill edge " + edge, pause, edgeHost::kill, edgeHost::start);
            case 1 -> fault("end edge " + edge, 0, () -> endGracefully(edgeHost), edgeHost::start);
            case 2 -> paused("edge " + edge, edgeHost, pause);
            case 3 -> fault("kill core " + core, pause, coreHost::kill, coreHost::start);
            case 4 -> {
                long removals = system.removals(core);
                fault("wipe core " + core, pause, () -> wipe(core), () -> refill(core, removals));
            }
            case 5 -> paused("core " + core, coreHost, pause);
            case 6 -> fault("tear core " + core, pause, () -> tear(core), coreHost::start);
            case 7 -> fault("kill all cores", pause / 4, this::killCores, this::startCores);
            case 8 -> moody(pause);
            case 9 -> harmed("operator", system.callProxies().get(core), pause);
            case 10 -> harmed("clients", system.frontProxies().get(edge), pause);
            default -> harmed("endpoint", engine().proxy(), pause);
        }
    }

    private void fault(String name, int pause, Action begin, Action end) throws Exception {
        story.add(name);
        begin.run();
        Http.pause(pause);
        if (random.nextInt(3) == 0) {
            harmed("endpoint", engine().proxy(), pause / 2);
        }
        end.run();
    }

    private void paused(String name, SoakHost host, int pause) throws Exception {
        fault("pause " + name, pause, () -> host.signal("STOP"), () -> host.signal("CONT"));
        host.signal("HUP");
    }

    private void harmed(String name, FaultProxy proxy, int pause) {
        FaultProxy.Harm[] all = FaultProxy.Harm.values();
        FaultProxy.Harm harm = all[1 + random.nextInt(all.length - 1)];
        story.add("%s %s".formatted(harm, name));
        proxy.harm(harm);
        Http.pause(pause);
        proxy.harm(FaultProxy.Harm.NONE);
    }

    private void moody(int pause) {
        SoakEngine.Mood[] all = SoakEngine.Mood.values();
        SoakEngine.Mood mood = all[1 + random.nextInt(all.length - 1)];
        SoakEngine engine = engine();
        story.add("endpoint " + mood);
        engine.mood(mood);
        Http.pause(pause);
        engine.mood(SoakEngine.Mood.SOUND);
    }

    private SoakEngine engine() {
        return system.engines().get(random.nextInt(system.engines().size()));
    }

    private void endGracefully(SoakHost edge) throws Exception {
        if (!edge.end()) {
            evidence.broken("an edge did not end within its grace");
        }
        String log = edge.log();
        // A signal can end the runtime before the program begins; then there is nothing to stop.
        if (log.contains("event=edge.started") && !log.contains("event=edge.stopped")) {
            evidence.broken("an edge ended without a line that says so");
        }
    }

    private void wipe(int core) throws Exception {
        system.registries().get(core).kill();
        system.wipe(core);
    }

    /**
     * Starts a registry with an empty disk, and waits until the others made it whole again: until
     * then it counts as lost, and no other disk may be.
     *
     * @param removals how often replicas of this host had been taken out of the log before
     */
    private void refill(int core, long removals) throws Exception {
        system.registries().get(core).start();
        heal("a change after a lost disk", operator::read);
        heal("a replica in place of the lost one", () -> system.removals(core) > removals);
    }

    private void tear(int core) throws Exception {
        system.registries().get(core).kill();
        system.tear(core);
    }

    private void killCores() throws InterruptedException {
        for (SoakHost h : system.registries()) {
            h.kill();
        }
    }

    private void startCores() throws IOException {
        for (SoakHost h : system.registries()) {
            h.start();
        }
    }

    /** Heals all, waits until all is served, and lets an endpoint leave while nothing is harmed. */
    private void finish() throws Exception {
        changing = false;
        heal("the last configuration", operator::change);
        heal("reading it back", operator::read);
        int calls = evidence.count("status 200");
        int streams = evidence.count("stream 200");
        heal("calls after the faults", () -> evidence.count("status 200") > calls + CALLERS);
        heal("streams after the faults", () -> evidence.count("stream 200") > streams + CALLERS);
        SoakEngine leaves = engine();
        leaves.leave();
        heal("the acknowledgement of a leave", () -> leaves.report(operator));
        Http.pause(DRAIN_MILLIS);
        int before = leaves.requests();
        Http.pause(LONGEST_FAULT_MILLIS);
        if (leaves.requests() > before) {
            evidence.broken("requests came to an endpoint that has left");
        }
        for (SoakHost h : system.hosts()) {
            supervise(h);
        }
    }

    /**
     * Watches all processes. As on the platform, one that ended is started again; it may have ended
     * by itself only where SIGHUP reached the runtime before the program could take it.
     */
    private void supervise() {
        while (!over) {
            for (SoakHost h : system.hosts()) {
                supervise(h);
            }
            Http.pause(REPORT_MILLIS);
        }
    }

    private void supervise(SoakHost host) {
        try {
            SoakHost.Fate fate = host.restartIfEnded();
            if (fate == SoakHost.Fate.ENDED) {
                evidence.broken("a process ended by itself");
            }
            if (fate != SoakHost.Fate.AS_WANTED) {
                evidence.counts("started again");
            }
        } catch (IOException e) {
            evidence.broken("a process cannot be watched: " + e.getMessage());
        }
    }

    private void heal(String what, BooleanSupplier done) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(HEAL_SECONDS);
        while (!done.getAsBoolean()) {
            if (System.nanoTime() > end) {
                evidence.broken("never came: " + what);
                return;
            }
            Http.pause(REPORT_MILLIS);
        }
    }

    private void report() {
        SoakOperator reporter = new SoakOperator(system.callProxies(), evidence, -seed);
        while (!over) {
            for (SoakEngine e : system.engines()) {
                e.report(reporter);
            }
            Http.pause(REPORT_MILLIS);
        }
    }

    private void change() {
        SplittableRandom own = new SplittableRandom(seed ^ 1);
        while (!over) {
            Http.pause(own.nextInt(2 * CHANGE_MILLIS));
            if (changing) {
                act(own.nextInt(6));
            }
        }
    }

    private void act(int kind) {
        switch (kind) {
            case 0, 1, 2 -> operator.change();
            case 3 -> operator.spoil();
            case 4 -> operator.repeat();
            default -> operator.read();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
