package io.siskintrail.bench.rules;

import io.siskintrail.control.internal.configuration.EditOutcome;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;

/** Seven hosts, three of them with a control replica; edits one after the other, with faults. */
public final class RulesRun {
    private static final int CONTROLS = 3;
    private static final int ROUTERS = 7;
    private static final int RULES = 200;
    private static final long PAUSE_MILLIS = 60;
    private static final int REPEAT_EVERY = 10;
    private static final int RESTART_ROUTER_EVERY = 15;
    private static final int RESTART_CONTROL_EVERY = 40;
    private static final long READY_MILLIS = 30_000;
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final long NANOS_PER_MICRO = 1_000;

    private final int edits;
    private final SplittableRandom random;
    private final List<ControlNode> controls = new ArrayList<>();
    private final List<RouterNode> routers = new ArrayList<>();
    private final List<Node> all = new ArrayList<>();
    private final Map<Long, String> accepted = new HashMap<>();
    private final Histogram acceptMicros = new Histogram(MAX_MICROS, 3);
    private final InForceSampler sampler;
    private long wrongAnswers;
    private long openAnswers;
    private int restarts;

    /**
     * Prepares the processes.
     *
     * @param folder holds the logs
     * @param edits how many edits to apply
     * @param seed chooses the control host of each edit
     */
    public RulesRun(Path folder, int edits, long seed) {
        this.edits = edits;
        this.random = new SplittableRandom(seed);
        List<HostId> controlIds = new ArrayList<>();
        List<HostInfo> routerInfos = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            RouterNode router = new RouterNode(i, controlIds);
            routers.add(router);
            routerInfos.add(router.info());
        }
        for (int i = 0; i < CONTROLS; i++) {
            controls.add(new ControlNode(i, folder.resolve("control-" + i), routerInfos));
            controlIds.add(controls.get(i).id());
        }
        for (ControlNode control : controls) {
            control.setOthers(controls.stream().filter(c -> c != control).map(Node::info).toList());
        }
        all.addAll(controls);
        all.addAll(routers);
        sampler = new InForceSampler(routers);
    }

    /** Runs all edits and returns the line of figures. */
    public String run() throws Exception {
        all.forEach(n -> n.start(all));
        await("routers ready", () -> routers.stream().allMatch(r -> r.follower().mayTakeWork()));
        sampler.start();
        try {
            for (int i = 1; i <= edits; i++) {
                faults(i);
                edit(i);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            setIsolated(false);
            await("in force everywhere", () -> sampler.waiting() == 0);
            long lost = lost();
            restartAllControls();
            lost = Math.max(lost, lost());
            sampler.stop();
            return figures(lost);
        } finally {
            all.forEach(Node::stop);
        }
    }

    /** Isolates the last host with both roles for the middle third of the run. */
    private void faults(int i) {
        if (i == edits / 3) {
            setIsolated(true);
        }
        if (i == 2 * edits / 3) {
            setIsolated(false);
        }
        if (i % RESTART_ROUTER_EVERY == 0) {
            restart(routers.get(random.nextInt(ROUTERS)));
        }
        boolean whole = i < edits / 3 || i > 2 * edits / 3 + REPEAT_EVERY;
        if (i % RESTART_CONTROL_EVERY == 0 && whole) {
            restart(controls.get(random.nextInt(CONTROLS)));
        }
    }

    private void setIsolated(boolean cut) {
        controls.get(CONTROLS - 1).setCut(cut);
        routers.get(CONTROLS - 1).setCut(cut);
    }

    private void restart(Node node) {
        node.stop();
        node.start(all);
        restarts++;
    }

    private void restartAllControls() throws Exception {
        controls.forEach(Node::stop);
        controls.forEach(c -> c.start(all));
        restarts += CONTROLS;
        await("control caught up", () -> controls.stream().allMatch(c -> number(c) >= edits));
    }

    private static long number(ControlNode control) {
        return control.service().image().current().rulesNumber();
    }

    private void edit(int i) throws Exception {
        String text = text(i);
        long start = System.nanoTime();
        EditOutcome outcome = send(i - 1, text);
        while (outcome instanceof EditOutcome.Pending) {
            openAnswers++;
            outcome = send(i - 1, text);
        }
        if (outcome instanceof EditOutcome.Accepted a && a.number() == i) {
            acceptMicros.recordValue((System.nanoTime() - start) / NANOS_PER_MICRO);
            accepted.put(a.number(), text);
            sampler.accepted(a.number() + 1);
        } else {
            wrongAnswers++;
        }
        if (i % REPEAT_EVERY == 0) {
            wrongAnswers += send(i - 1, text).equals(outcome) ? 0 : 1;
            wrongAnswers +=
                    send(i - 1, text + "# other\n") instanceof EditOutcome.NumberTaken ? 0 : 1;
        }
    }

    private EditOutcome send(long from, String text) throws Exception {
        ControlNode control = controls.get(random.nextInt(CONTROLS));
        while (control.isCut()) {
            control = controls.get(random.nextInt(CONTROLS));
        }
        return control.service()
                .edit(from, text, "bench")
                .toCompletableFuture()
                .get(1, TimeUnit.MINUTES);
    }

    private static String text(int edit) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < RULES; i++) {
            int weight = 1 + (i == edit % RULES ? edit % 900 : 0);
            text.append("weight %d account=account-%d # Bench: edit %d%n".formatted(weight, i, 0));
        }
        return text.append("# edit ").append(edit).append('\n').toString();
    }

    /** Returns how many accepted edits some control replica does not have. */
    private long lost() throws Exception {
        await("control in step", () -> controls.stream().allMatch(c -> number(c) >= edits));
        long lost = 0;
        for (ControlNode control : controls) {
            var image = control.service().image();
            Map<Long, String> digests = new HashMap<>();
            image.history().forEach(e -> digests.put(e.number(), e.digest()));
            long missing =
                    accepted.entrySet().stream()
                            .filter(e -> !digest(e.getValue()).equals(digests.get(e.getKey())))
                            .count();
            lost = Math.max(lost, missing);
        }
        return lost;
    }

    private static String digest(String text) {
        return io.siskintrail.internal.control.LineChange.digest(text);
    }

    private static void await(String what, BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("waited in vain: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    private String figures(long lost) {
        return ("bench=rules hosts=%d control=%d edits=%d accepted=%d restarts=%d open_answers=%d"
                        + " wrong_answers=%d accept_p50_ms=%.1f accept_p99_ms=%.1f"
                        + " in_force_p99_ms=%.1f in_force_max_ms=%.1f reverts=%d lost=%d")
                .formatted(
                        ROUTERS,
                        CONTROLS,
                        edits,
                        accepted.size(),
                        restarts,
                        openAnswers,
                        wrongAnswers,
                        millis(acceptMicros, 50),
                        millis(acceptMicros, 99),
                        millis(sampler.inForce(), 99),
                        sampler.inForce().getMaxValue() / 1e3,
                        sampler.reverts(),
                        lost);
    }

    private static double millis(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / 1e3;
    }
}
