package io.siskintrail.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Series of planned work that overlap: SIGTERM and SIGHUP to edges, signals to an edge that stops,
 * new configurations, and endpoints that fall silent for a time and go on; unplanned ones besides,
 * if asked for.
 */
final class SoakSeries {
    private static final int MAX_FIRST_SIGNAL_MILLIS = 300;
    private static final int MAX_BETWEEN_TERMINATIONS_MILLIS = 1_500;
    private static final int MAX_CONFIGURATION_MILLIS = 600;
    private static final int MAX_HANGUP_MILLIS = 3_000;
    private static final int MAX_SECOND_SIGNAL_MILLIS = 2_500;
    private static final int MIN_SILENCE_MILLIS = 800;
    private static final int MAX_SILENCE_MILLIS = 2_000;
    private static final int MAX_CONFIGURATIONS = 4;
    private static final int MAX_HANGUPS = 3;
    private static final int MAX_SILENCES = 2;
    private static final int MAX_UNPLANNED_MILLIS = 4_000;
    private static final int MAX_PAUSES = 3;
    private static final int MAX_PAUSE_MILLIS = 1_500;
    private static final int MAX_RESTARTS = 2;
    private static final int MAX_DOWN_MILLIS = 800;

    /** Time that restarted edges serve before the next series. */
    private static final int SETTLE_MILLIS = 700;

    private static final int POLL_INTERVAL_MILLIS = 50;
    private static final int MAX_START_POLLS = 600;

    private final SoakSystem system;
    private final SoakRegistryClient operatorClient;
    private final SoakRecorder recorder;
    private final SplittableRandom random;
    private final boolean unplanned;

    /** Edges that this series ended or is about to end; one end in a series for each. */
    private final Set<Integer> ended = ConcurrentHashMap.newKeySet();

    private final List<Event> events = new ArrayList<>();
    private final List<Thread> actions = new ArrayList<>();

    /** Action of an event. */
    private interface Action {
        void run() throws Exception;
    }

    /** Something that happens at a time after the begin of the series. */
    private record Event(int atMillis, String description, Action action) {}

    /**
     * Creates a series.
     *
     * @param unplanned whether edges are paused and killed, and endpoints restarted, besides
     */
    SoakSeries(
            SoakSystem system,
            SoakRegistryClient operatorClient,
            SoakRecorder recorder,
            SplittableRandom random,
            boolean unplanned) {
        this.system = system;
        this.operatorClient = operatorClient;
        this.recorder = recorder;
        this.random = random;
        this.unplanned = unplanned;
    }

    /** Runs one series and returns, when all edges serve again, what was done. */
    String run() throws Exception {
        drawEvents();
        if (unplanned) {
            drawUnplannedEvents();
        }
        events.sort(Comparator.comparingInt(Event::atMillis));
        awaitEdges();
        long beginNanos = System.nanoTime();
        StringBuilder description = new StringBuilder();
        for (Event event : events) {
            long elapsedMillis = (System.nanoTime() - beginNanos) / 1_000_000;
            Http.sleep(Math.max(0, event.atMillis() - elapsedMillis));
            event.action().run();
            description.append("%d:%s ".formatted(event.atMillis(), event.description()));
        }
        for (Thread action : actions) {
            action.join();
        }
        awaitEdges();
        return description.toString().trim();
    }

    private void drawEvents() {
        int first = random.nextInt(system.edges().size());
        int signalMillis = random.nextInt(MAX_FIRST_SIGNAL_MILLIS);
        addTermination(signalMillis, first);
        if (random.nextInt(5) < 3) {
            int second = (first + 1) % system.edges().size();
            addTermination(signalMillis + random.nextInt(MAX_BETWEEN_TERMINATIONS_MILLIS), second);
        }
        if (random.nextBoolean()) {
            String signal = random.nextBoolean() ? "TERM" : "HUP";
            int atMillis = signalMillis + 1 + random.nextInt(MAX_SECOND_SIGNAL_MILLIS);
            add(atMillis, "second " + signal, () -> signalAgain(first, signal));
        }
        for (int i = random.nextInt(MAX_HANGUPS + 1); i > 0; i--) {
            int edge = random.nextInt(system.edges().size());
            add(random.nextInt(MAX_HANGUP_MILLIS), "HUP edge " + edge, () -> hangUp(edge));
        }
        for (int i = random.nextInt(MAX_CONFIGURATIONS + 1); i > 0; i--) {
            int atMillis = random.nextInt(MAX_CONFIGURATION_MILLIS);
            add(atMillis, "configuration", () -> begin(operatorClient::putNextConfiguration));
        }
        for (int i = random.nextInt(MAX_SILENCES + 1); i > 0; i--) {
            SoakEndpoint endpoint =
                    system.endpoints().get(random.nextInt(system.endpoints().size()));
            int millis = random.nextInt(MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS);
            add(
                    random.nextInt(MAX_HANGUP_MILLIS),
                    "silence of " + millis,
                    () -> endpoint.fallSilent(millis));
        }
    }

    private void drawUnplannedEvents() {
        for (int i = 1 + random.nextInt(MAX_PAUSES); i > 0; i--) {
            int edge = random.nextInt(system.edges().size());
            int millis = random.nextInt(MAX_PAUSE_MILLIS);
            add(drawMillis(), "pause edge " + edge, () -> begin(() -> pause(edge, millis)));
        }
        if (random.nextBoolean()) {
            int edge = random.nextInt(system.edges().size());
            int downMillis = random.nextInt(MAX_DOWN_MILLIS);
            add(drawMillis(), "kill edge " + edge, () -> kill(edge, downMillis));
        }
        for (int i = random.nextInt(MAX_RESTARTS + 1); i > 0; i--) {
            SoakEndpoint endpoint =
                    system.endpoints().get(random.nextInt(system.endpoints().size()));
            int downMillis = random.nextInt(MAX_DOWN_MILLIS);
            add(drawMillis(), "restart endpoint", () -> begin(() -> endpoint.restart(downMillis)));
        }
    }

    private int drawMillis() {
        return random.nextInt(MAX_UNPLANNED_MILLIS);
    }

    private void pause(int edge, int millis) {
        SoakProcess process = system.edges().get(edge);
        try {
            process.signal("STOP");
            Http.sleep(millis);
            process.signal("CONT");
        } catch (IOException | InterruptedException e) {
            recorder.recordViolation("an edge cannot be paused: " + e);
        }
    }

    private void kill(int edge, int downMillis) throws Exception {
        if (!ended.add(edge)) {
            return;
        }
        SoakProcess process = system.edges().get(edge);
        process.kill();
        begin(
                () -> {
                    Http.sleep(downMillis);
                    try {
                        process.start();
                    } catch (IOException e) {
                        recorder.recordViolation("an edge cannot be restarted: " + e);
                    }
                });
    }

    private void addTermination(int atMillis, int edge) {
        add(atMillis, "TERM edge " + edge, () -> terminate(edge));
    }

    private void add(int atMillis, String description, Action action) {
        events.add(new Event(atMillis, description, action));
    }

    private void terminate(int edge) {
        if (!ended.add(edge)) {
            return;
        }
        recorder.calls().recordSignal(edge, "TERM");
        system.edges().get(edge).beginTermination();
        begin(() -> restartAfterExit(edge));
    }

    private void signalAgain(int edge, String signal) throws Exception {
        recorder.calls().recordSignal(edge, "second " + signal);
        system.edges().get(edge).signalDuringTermination(signal);
    }

    private void hangUp(int edge) throws Exception {
        recorder.calls().recordSignal(edge, "HUP");
        system.edges().get(edge).signal("HUP");
    }

    private void restartAfterExit(int edge) {
        SoakProcess process = system.edges().get(edge);
        try {
            if (!process.awaitExit()) {
                recorder.recordViolation("an edge did not terminate within the timeout");
            }
            if (!process.logSinceStart().contains("event=edge.stopped")) {
                recorder.recordViolation("an edge terminated without logging edge.stopped");
            }
            process.start();
        } catch (Exception e) {
            recorder.recordViolation("an edge cannot be restarted: " + e);
        }
    }

    private void awaitEdges() throws Exception {
        for (SoakProcess edge : system.edges()) {
            for (int i = 0; i < MAX_START_POLLS && !edge.hasStarted(); i++) {
                Http.sleep(POLL_INTERVAL_MILLIS);
            }
        }
        Http.sleep(SETTLE_MILLIS);
    }

    private void begin(Runnable task) {
        Thread thread = new Thread(task, "soak-series");
        thread.setDaemon(true);
        thread.start();
        actions.add(thread);
    }
}
