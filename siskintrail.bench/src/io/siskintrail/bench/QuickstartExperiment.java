package io.siskintrail.bench;

import io.siskintrail.control.ControlService;
import io.siskintrail.control.ControlSettings;
import io.siskintrail.fake.FakeEngine;
import io.siskintrail.fake.FakeEngineSettings;
import io.siskintrail.fake.FakeTokens;
import io.siskintrail.lib.ModelId;
import io.siskintrail.router.RouterService;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.service.OperatorTokens;
import io.siskintrail.service.Service;
import io.siskintrail.service.ShutdownSignal;
import io.siskintrail.testkit.FreePorts;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs a whole system in this process: control, a router and two fake engines. With {@code --once}
 * it kills the engine that serves a request half way and checks that the answer is whole.
 */
final class QuickstartExperiment implements Experiment, Service {
    private static final ModelId MODEL = new ModelId("quoting", "", "v1");
    private static final String API_KEY = "quickstart-key";
    private static final String ANNOUNCE_TOKEN = "quickstart-announce";
    private static final String PROMPT = "Assess the chairs of the council chamber.";
    private static final long SEED = 7;
    private static final int TOKENS = 200;
    private static final int KILL_AT = TOKENS / 2;
    private static final int ENGINES = 2;
    private static final long READY_MILLIS = 10_000;

    private static final String CONTROL = "control-1";
    private static final String ROUTER = "router-1";
    private static final String SHARED_KEY = "quickstart-shared-key";
    private static final String OPERATOR_TOKEN = "quickstart-operator";

    private final String controlPeerAddress = FreePorts.address();
    private final String routerPeerAddress = FreePorts.address();
    private final Deque<Service> running = new ArrayDeque<>();
    private final List<FakeEngine> engines = new ArrayList<>();
    private ControlService control;
    private RouterService router;

    @Override
    public int run(String[] args) throws Exception {
        start();
        if (args.length > 0 && args[0].equals("--once")) {
            return once();
        }
        System.out.printf("router  http://%s%nAPI key %s%n", router.httpAddress(), API_KEY);
        System.out.printf(
                "try:    curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d"
                        + " '{\"model\":\"quoting\",\"prompt\":\"hello\",\"max_tokens\":50,"
                        + "\"stream\":true}'%n",
                router.httpAddress(), API_KEY);
        ShutdownSignal.run(this, () -> {});
        return 0;
    }

    @Override
    public void start() {
        control = new ControlService(controlSettings());
        router = new RouterService(routerSettings());
        startOne(control);
        startOne(router);
        for (int i = 0; i < ENGINES; i++) {
            FakeEngine engine = new FakeEngine(engineSettings(i));
            engines.add(engine);
            startOne(engine);
        }
    }

    @Override
    public void stop() {
        while (!running.isEmpty()) {
            running.pop().stop();
        }
    }

    private void startOne(Service service) {
        service.start();
        running.push(service);
    }

    private int once() throws Exception {
        Outcome outcome;
        try {
            outcome = killHalfWay();
        } finally {
            stop();
        }
        System.out.println(outcome.line);
        return outcome.ok ? 0 : 1;
    }

    private Outcome killHalfWay() throws Exception {
        StreamingCaller caller = new StreamingCaller(router.httpAddress(), API_KEY);
        caller.awaitModels(ENGINES, READY_MILLIS);
        List<Integer> expected = expected();
        StreamingCaller.Answer answer =
                caller.complete("quoting", PROMPT, SEED, TOKENS, this::killServingEngineAt);
        System.out.println(answer.text());
        long wrong = TokenCheck.firstDifference(expected, answer.tokens());
        int missing = Math.max(0, expected.size() - answer.tokens().size());
        int repeated = Math.max(0, answer.tokens().size() - expected.size());
        boolean ok = wrong < 0 && answer.done();
        String line =
                "result=%s tokens=%d missing=%d repeated=%d resume_ms=%d"
                        .formatted(
                                ok ? "ok" : "failed",
                                answer.tokens().size(),
                                missing,
                                repeated,
                                TimeUnit.NANOSECONDS.toMillis(answer.longestGapNanos()));
        return new Outcome(ok, line);
    }

    private record Outcome(boolean ok, String line) {}

    private void killServingEngineAt(int tokens) {
        if (tokens != KILL_AT) {
            return;
        }
        engines.stream()
                .filter(e -> e.state().running() > 0)
                .findFirst()
                .ifPresent(FakeEngine::kill);
    }

    private static List<Integer> expected() {
        FakeTokens tokens = new FakeTokens(MODEL, PROMPT, SEED);
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < TOKENS; i++) {
            all.add(tokens.next());
        }
        return all;
    }

    private ControlSettings controlSettings() {
        return new ControlSettings(
                CONTROL,
                "local",
                "127.0.0.1:0",
                controlPeerAddress,
                SHARED_KEY,
                "",
                List.of(),
                List.of(),
                List.of(new ControlSettings.Peer(ROUTER, "local", routerPeerAddress)),
                operators());
    }

    private RouterSettings routerSettings() {
        return new RouterSettings(
                ROUTER,
                "local",
                "127.0.0.1:0",
                routerPeerAddress,
                SHARED_KEY,
                ANNOUNCE_TOKEN,
                List.of(),
                List.of(new RouterSettings.Peer(CONTROL, "local", controlPeerAddress)),
                List.of(new RouterSettings.Account("quickstart", ApiKeys.hashOf(API_KEY))),
                null,
                operators());
    }

    private static List<OperatorTokens.Operator> operators() {
        return List.of(
                new OperatorTokens.Operator("quickstart", OperatorTokens.hashOf(OPERATOR_TOKEN)));
    }

    private FakeEngineSettings engineSettings(int number) {
        return new FakeEngineSettings(
                "engine-" + number,
                "local",
                "127.0.0.1:0",
                List.of(MODEL),
                8,
                10,
                50,
                true,
                List.of(router.httpAddress()),
                ANNOUNCE_TOKEN);
    }
}
