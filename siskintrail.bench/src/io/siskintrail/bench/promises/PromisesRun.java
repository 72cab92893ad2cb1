package io.siskintrail.bench.promises;

import com.fasterxml.jackson.databind.JsonNode;
import io.siskintrail.lib.ModelId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/** One run: starts the deployment, makes traffic and faults, and judges what was seen. */
public final class PromisesRun {
    private static final ModelId MODEL = new ModelId("quoting", "", "2026-03");
    private static final String OPERATOR = "example-token-sami";
    private static final String RIVAL = "example-token-huda";
    private static final long READY_MILLIS = 90_000;
    private static final long POLL_MILLIS = 100;
    private static final long EDIT_MILLIS = 300;
    private static final long CALL_MILLIS = 1_000;
    private static final long IN_FORCE_MILLIS = 10_000;
    private static final long LEAVE_MILLIS = 3_000;
    private static final long SETTLE_MILLIS = 3_000;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final String LEAVING_ENGINE = "engine-2";

    private final Deployment deployment;
    private final Path rulesFile;
    private final long seed;
    private final boolean full;
    private final Http http = new Http();
    private final ConcurrentLinkedQueue<RulesObservation> observations =
            new ConcurrentLinkedQueue<>();
    private final List<LeaveEvidence> leaves = new ArrayList<>();
    private Balancer balancer;
    private RulesEditor editor;
    private RulesEditor rivalEditor;
    private volatile boolean stopped;

    PromisesRun(Deployment deployment, Path rulesFile, long seed, boolean full) {
        this.deployment = deployment;
        this.rulesFile = rulesFile;
        this.seed = seed;
        this.full = full;
    }

    /**
     * Runs a deployment in processes of its own.
     *
     * @param settings the folder with the settings of the processes
     * @param rules the rules file
     * @param work an empty folder
     * @param network the first two bytes of the loopback addresses to use
     * @param seed picks faults and moments
     * @param full whether every fault is made, or a few
     * @return one line for each promise; a breached one has {@code result=breached}
     */
    public static List<String> run(
            Path settings, Path rules, Path work, String network, long seed, boolean full)
            throws IOException, InterruptedException {
        String classpath = System.getProperty("java.class.path");
        try (Deployment deployment = new Deployment(settings, work, classpath, network)) {
            PromisesRun run = new PromisesRun(deployment, rules, seed, full);
            return run.judge().stream().map(Verdict::line).toList();
        }
    }

    private List<Verdict> judge() throws IOException, InterruptedException {
        deployment.startAll();
        prepare();
        awaitReady();
        Thread observer = background("observer", this::observe);
        Thread operator = background("operator", () -> edit(editor));
        Thread rival = background("rival", () -> edit(rivalEditor));
        Traffic traffic = new Traffic(http, balancer);
        traffic.start(full ? 40 : 12, full ? 8 : 3, seed);
        Thread.sleep(WARM_UP_MILLIS);
        Faults faults = new Faults(deployment, http, traffic, seed);
        if (full) {
            faults.all();
        } else {
            faults.few();
        }
        leave(faults);
        traffic.finish();
        Thread.sleep(SETTLE_MILLIS);
        stopped = true;
        observer.join();
        operator.join();
        rival.join();
        traffic.faults().forEach(e -> System.out.println("caller.fault=" + e));
        Evidence evidence = evidence(traffic, faults);
        System.out.println(summary(evidence));
        return new PromiseChecks(MODEL).judge(evidence);
    }

    private void prepare() throws IOException {
        List<String> routers = new ArrayList<>();
        for (String name : deployment.names("router")) {
            routers.add(deployment.address(name, "httpAddress"));
        }
        balancer = new Balancer(routers);
        List<String> controls = new ArrayList<>();
        for (String name : deployment.names("control")) {
            controls.add(deployment.address(name, "httpAddress"));
        }
        String text = Files.readString(rulesFile);
        editor = new RulesEditor(http, controls, OPERATOR, text);
        rivalEditor = new RulesEditor(http, controls, RIVAL, text);
    }

    private void awaitReady() throws InterruptedException, IOException {
        long deadline = System.currentTimeMillis() + READY_MILLIS;
        while (System.currentTimeMillis() < deadline) {
            editor.step();
            pollRouters();
            if (balancer.readyCount() == balancer.all().size() && !editor.accepted().isEmpty()) {
                return;
            }
            Thread.sleep(POLL_MILLIS);
        }
        throw new IOException(
                "%d of %d routers are ready, %d edits accepted"
                        .formatted(
                                balancer.readyCount(),
                                balancer.all().size(),
                                editor.accepted().size()));
    }

    private void observe() throws InterruptedException {
        while (!stopped) {
            pollRouters();
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void edit(RulesEditor by) throws InterruptedException {
        while (!stopped) {
            by.step();
            Thread.sleep(EDIT_MILLIS);
        }
    }

    private void pollRouters() throws InterruptedException {
        for (String router : balancer.all()) {
            long bound = System.currentTimeMillis() - IN_FORCE_MILLIS;
            long required = full ? newestAccepted(bound) : 0;
            try {
                JsonNode status = http.get(router, "/admin/status", OPERATOR, CALL_MILLIS);
                boolean ready = status.path("ready").asBoolean();
                long number = status.path("rulesNumber").asLong();
                balancer.set(router, ready && status.path("endpoints").asInt() > 0);
                observations.add(new RulesObservation(router, ready, number, required));
            } catch (IOException e) {
                balancer.set(router, false);
            }
        }
    }

    private long newestAccepted(long untilMillis) {
        return Math.max(editor.newestBefore(untilMillis), rivalEditor.newestBefore(untilMillis));
    }

    private void leave(Faults faults) throws IOException, InterruptedException {
        long at = System.currentTimeMillis();
        faults.order(LEAVING_ENGINE, "leave");
        long bound = full ? at + LEAVE_MILLIS : awaitUnlisted();
        Thread.sleep(LEAVE_MILLIS * 2);
        long last = fakeState().path(LEAVING_ENGINE).path("lastStartMillis").asLong();
        leaves.add(new LeaveEvidence(LEAVING_ENGINE, last > bound ? 1 : 0));
    }

    /** Waits until no router lists the leaving engine; returns when that was seen, and a little. */
    private long awaitUnlisted() throws InterruptedException {
        long deadline = System.currentTimeMillis() + READY_MILLIS;
        while (System.currentTimeMillis() < deadline && listed()) {
            Thread.sleep(POLL_MILLIS);
        }
        return System.currentTimeMillis() + LEAVE_MILLIS;
    }

    private boolean listed() throws InterruptedException {
        for (String router : balancer.all()) {
            try {
                JsonNode all = http.get(router, "/admin/endpoints", OPERATOR, CALL_MILLIS);
                if (all.findValuesAsText("id").contains(LEAVING_ENGINE)) {
                    return true;
                }
            } catch (IOException e) {
                balancer.set(router, false);
            }
        }
        return false;
    }

    private Evidence evidence(Traffic traffic, Faults faults)
            throws IOException, InterruptedException {
        Map<String, Integer> executions = new TreeMap<>();
        Set<String> prompts = new HashSet<>();
        Set<String> salts = new HashSet<>();
        JsonNode state = fakeState();
        state.fields()
                .forEachRemaining(
                        e -> {
                            salts.add(e.getKey());
                            e.getValue()
                                    .path("startedPrompts")
                                    .forEach(p -> prompts.add(p.asText()));
                            count(e.getValue().path("executions"), executions);
                        });
        return new Evidence(
                traffic.generations(),
                traffic.orders(),
                executions,
                prompts,
                leaves,
                faults.cut(),
                List.copyOf(observations),
                Stream.of(editor, rivalEditor)
                        .flatMap(e -> e.accepted().keySet().stream())
                        .toList(),
                finalNumber(),
                salts);
    }

    private static String summary(Evidence evidence) {
        Map<String, Long> ends = new TreeMap<>();
        evidence.generations().forEach(g -> ends.merge(g.end() + "/" + g.code(), 1L, Long::sum));
        Map<Integer, Long> orders = new TreeMap<>();
        evidence.orders().forEach(o -> orders.merge(o.code(), 1L, Long::sum));
        return "generations=%s orders=%s edits=%d"
                .formatted(ends, orders, evidence.accepted().size());
    }

    private static void count(JsonNode executions, Map<String, Integer> into) {
        executions
                .fields()
                .forEachRemaining(e -> into.merge(e.getKey(), e.getValue().asInt(), Integer::sum));
    }

    private long finalNumber() throws InterruptedException {
        long newest = 0;
        for (String name : deployment.names("control")) {
            try {
                String address = deployment.address(name, "httpAddress");
                JsonNode rules = http.get(address, "/admin/rules", OPERATOR, CALL_MILLIS);
                newest = Math.max(newest, rules.path("number").asLong());
            } catch (IOException e) {
                System.out.println("control.unreachable=" + name);
            }
        }
        return newest;
    }

    private JsonNode fakeState() throws IOException, InterruptedException {
        return http.get(deployment.address("fake", "adminAddress"), "/state", "-", CALL_MILLIS * 5);
    }

    private static Thread background(String name, Loop loop) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                loop.run();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @FunctionalInterface
    private interface Loop {
        void run() throws InterruptedException;
    }
}
