package io.siskintrail.bench.path;

import io.siskintrail.fake.FakeEngine;
import io.siskintrail.fake.FakeEngineSettings;
import io.siskintrail.fake.FakeTokens;
import io.siskintrail.lib.ModelId;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Routers as processes and fake engines in this one, on loopback. */
final class PathDeployment implements AutoCloseable {
    static final ModelId MODEL = new ModelId("quoting", "", "v1");
    static final String API_KEY = "path-bench-key";

    private static final String TOKEN = "path-bench-announce";
    private static final String SHARED_KEY = "path-bench-shared-key";

    /** Differs from the address that connections leave from, so that ports are free again. */
    private static final String ENGINE_ADDRESS = "127.0.0.2:0";

    private static final int DOMAINS = 3;
    private static final long SPREAD_MILLIS = 1_500;

    private final List<RouterProcess> routers = new ArrayList<>();
    private final List<FakeEngine> engines = new ArrayList<>();

    /**
     * Starts a deployment and waits until it takes work.
     *
     * @param routerCount routers, each in the next of three failure domains
     * @param joined whether the routers know each other
     * @param engineCount fake engines
     * @param slots slots of each engine
     * @param tokenMillis time between two tokens
     * @param firstTokenMillis time to the first token
     */
    PathDeployment(
            int routerCount,
            boolean joined,
            int engineCount,
            int slots,
            int tokenMillis,
            int firstTokenMillis)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("siskintrail-path");
        List<RouterSettings.Peer> all = new ArrayList<>();
        for (int i = 0; i < routerCount; i++) {
            all.add(
                    new RouterSettings.Peer(
                            "router-" + i, "domain-" + i % DOMAINS, FreePorts.address()));
        }
        for (RouterSettings.Peer own : all) {
            List<RouterSettings.Peer> others = new ArrayList<>(all);
            others.remove(own);
            RouterSettings settings = settings(own, joined ? others : List.of());
            RouterProcess router = new RouterProcess(settings, folder);
            router.start();
            routers.add(router);
        }
        List<String> addresses = routers.stream().map(RouterProcess::address).toList();
        for (int i = 0; i < engineCount; i++) {
            List<String> announceTo = joined ? addresses : List.of(addresses.get(0));
            FakeEngine engine =
                    new FakeEngine(
                            new FakeEngineSettings(
                                    "engine-" + i,
                                    "domain-" + i % DOMAINS,
                                    ENGINE_ADDRESS,
                                    List.of(MODEL),
                                    slots,
                                    tokenMillis,
                                    firstTokenMillis,
                                    true,
                                    announceTo,
                                    TOKEN));
            engine.start();
            engines.add(engine);
        }
        awaitReady();
        Thread.sleep(SPREAD_MILLIS);
    }

    List<RouterProcess> routers() {
        return routers;
    }

    List<FakeEngine> engines() {
        return engines;
    }

    void awaitReady() throws IOException, InterruptedException {
        for (RouterProcess router : routers) {
            router.awaitReady();
        }
    }

    /** Returns the right answer to a prompt. */
    static List<Integer> expected(String prompt, long seed, int tokens) {
        FakeTokens right = new FakeTokens(MODEL, prompt, seed);
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < tokens; i++) {
            all.add(right.next());
        }
        return all;
    }

    long decodedTokens() {
        return engines.stream().mapToLong(e -> e.state().decodedTokens()).sum();
    }

    long computedPromptTokens() {
        return engines.stream().mapToLong(e -> e.state().computedPromptTokens()).sum();
    }

    @Override
    public void close() throws InterruptedException {
        engines.forEach(FakeEngine::kill);
        for (RouterProcess router : routers) {
            router.kill();
        }
    }

    private static RouterSettings settings(
            RouterSettings.Peer own, List<RouterSettings.Peer> others) {
        return new RouterSettings(
                own.host(),
                own.domain(),
                FreePorts.address(),
                own.peerAddress(),
                SHARED_KEY,
                TOKEN,
                others,
                List.of(),
                List.of(new RouterSettings.Account("clinic", ApiKeys.hashOf(API_KEY))),
                null,
                List.of());
    }
}
