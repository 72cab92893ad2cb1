package io.siskintrail.bench.orders;

import io.siskintrail.fake.FakeService;
import io.siskintrail.fake.FakeServiceSettings;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.internal.rules.RulesCheck;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.router.ControlAccess;
import io.siskintrail.router.RouterService;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.router.internal.account.ApiKeys;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Two routers, two endpoints of one plain service and a control log, over sockets and files. */
final class Deployment implements AutoCloseable {
    static final int ROUTERS = 2;
    static final String API_KEY = "ledger-faults-key";
    private static final int ENDPOINTS = 2;
    private static final int ANSWER_MILLIS = 150;
    private static final String TOKEN = "ledger-faults-announce";
    private static final String RULES =
            "at-most-once service=depot method=POST path=/orders"
                    + " key=header:Idempotency-Key # ledger-faults\n";

    private final FileLog log;
    private final RouterService[] routers = new RouterService[ROUTERS];
    private final Trap[] traps = new Trap[ROUTERS];
    private final int[] ports = new int[ROUTERS];
    private final List<FakeService> endpoints = new ArrayList<>();

    Deployment(FileLog log) throws IOException {
        this.log = log;
        for (int i = 0; i < ROUTERS; i++) {
            ports[i] = FreePorts.next();
        }
        for (int i = 0; i < ROUTERS; i++) {
            startRouter(i);
        }
        for (int i = 0; i < ENDPOINTS; i++) {
            FakeService endpoint = new FakeService(endpointSettings(i));
            endpoint.start();
            endpoints.add(endpoint);
        }
    }

    FileLog log() {
        return log;
    }

    Trap trap(int router) {
        return traps[router];
    }

    List<FakeService> endpoints() {
        return endpoints;
    }

    /** Returns the router, or null when it is down. */
    synchronized RouterService router(int number) {
        return routers[number];
    }

    void startRouter(int number) {
        Trap trap = new Trap(log.newClient());
        RouterService router =
                new RouterService(routerSettings(number), new ControlAccess(trap, rules()));
        router.start();
        synchronized (this) {
            traps[number] = trap;
            routers[number] = router;
        }
    }

    void killRouter(int number) {
        RouterService router;
        synchronized (this) {
            router = routers[number];
            routers[number] = null;
        }
        traps[number].cut();
        router.abort();
    }

    int executions(String key) {
        return endpoints.stream().mapToInt(e -> e.executions().getOrDefault(key, 0)).sum();
    }

    int executionsOfRequest(String id) {
        return endpoints.stream().mapToInt(e -> e.executionsOfRequest(id)).sum();
    }

    @Override
    public void close() {
        for (int i = 0; i < ROUTERS; i++) {
            if (router(i) != null) {
                killRouter(i);
            }
        }
        endpoints.forEach(FakeService::stop);
        log.close();
    }

    private RouterSettings routerSettings(int number) {
        int other = ROUTERS - 1 - number;
        return new RouterSettings(
                "host-" + number,
                "local",
                "127.0.0.1:0",
                "127.0.0.1:" + ports[number],
                "ledger-faults-shared",
                TOKEN,
                List.of(
                        new RouterSettings.Peer(
                                "host-" + other, "local", "127.0.0.1:" + ports[other])),
                List.of(),
                List.of(new RouterSettings.Account("depot", ApiKeys.hashOf(API_KEY))),
                null,
                List.of());
    }

    private FakeServiceSettings endpointSettings(int number) {
        return new FakeServiceSettings(
                "depot-" + number,
                "local",
                "127.0.0.1:0",
                "depot",
                8,
                ANSWER_MILLIS,
                List.of(routers[1].httpAddress()),
                TOKEN);
    }

    private static RulesView rules() {
        Rules rules = ((RulesCheck.Accepted) RulesParser.parse(RULES)).rules();
        return new RulesView() {
            @Override
            public Rules rules() {
                return rules;
            }

            @Override
            public boolean mayTakeWork() {
                return true;
            }
        };
    }
}
