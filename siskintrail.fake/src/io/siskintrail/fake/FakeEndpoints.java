package io.siskintrail.fake;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.Service;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * Runs several fake endpoints in one process. {@code POST /endpoints/{id}/{action}} orders a fault:
 * kill, restart, restart-if-down, pause, resume, leave, {@code die-on-WORD} for prompts that hold a
 * word, or the name of an {@link EngineFault} or {@link ServiceFault}. {@code GET /state} shows
 * counters.
 */
public final class FakeEndpoints implements Service {
    private static final int ADMIN_THREADS = 4;
    private static final int SERVICE_NOT_FOUND = 404;
    private static final int OK = 200;
    private static final int FAULT_OFFSET = 5;
    private static final String DIE_ON = "die-on-";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Map<String, Consumer<FakeEndpoint>> ACTIONS =
            Map.of(
                    "kill", FakeEndpoint::kill,
                    "restart", FakeEndpoint::restart,
                    "restart-if-down", FakeEndpoint::restartIfDown,
                    "pause", FakeEndpoint::pause,
                    "resume", FakeEndpoint::resume,
                    "leave", FakeEndpoint::leave);

    private final FakeSettings settings;
    private final Map<String, FakeEndpoint> endpoints = new LinkedHashMap<>();
    private HttpServer admin;

    /** Prepares the endpoints of the settings. */
    public FakeEndpoints(FakeSettings settings) {
        this.settings = settings;
        settings.engines().forEach(e -> endpoints.put(e.id(), new FakeEngine(e)));
        settings.services().forEach(s -> endpoints.put(s.id(), new FakeService(s)));
    }

    @Override
    public void start() {
        endpoints.values().forEach(FakeEndpoint::start);
        try {
            admin = HttpServer.create(Addresses.parse(settings.adminAddress()), 0);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + settings.adminAddress(), e);
        }
        admin.setExecutor(
                Executors.newFixedThreadPool(
                        ADMIN_THREADS,
                        task -> {
                            Thread t = new Thread(task, "fake-admin");
                            t.setDaemon(true);
                            return t;
                        }));
        admin.createContext("/endpoints/", this::order);
        admin.createContext("/state", this::state);
        admin.start();
    }

    @Override
    public void stop() {
        admin.stop(0);
        endpoints.values().forEach(FakeEndpoint::stop);
    }

    private void order(HttpExchange exchange) throws IOException {
        String[] parts = exchange.getRequestURI().getPath().split("/");
        FakeEndpoint endpoint = parts.length == 4 ? endpoints.get(parts[2]) : null;
        if (endpoint == null || !carryOut(endpoint, parts[3])) {
            respond(exchange, SERVICE_NOT_FOUND, "{\"error\":\"no such endpoint or action\"}");
            return;
        }
        respond(exchange, OK, "{}");
    }

    private static boolean carryOut(FakeEndpoint endpoint, String action) {
        Consumer<FakeEndpoint> known = ACTIONS.get(action);
        if (known != null) {
            known.accept(endpoint);
            return true;
        }
        try {
            if (endpoint instanceof FakeEngine engine && action.startsWith(DIE_ON)) {
                engine.dieOn(action.substring(DIE_ON.length()));
            } else if (endpoint instanceof FakeEngine engine) {
                engine.inject(EngineFault.valueOf(action), FAULT_OFFSET);
            } else if (endpoint instanceof FakeService service) {
                service.inject(ServiceFault.valueOf(action));
            }
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private void state(HttpExchange exchange) throws IOException {
        ObjectNode root = MAPPER.createObjectNode();
        for (FakeEndpoint e : endpoints.values()) {
            ObjectNode node = root.putObject(e.id());
            node.put("running", e.running());
            node.put("waiting", e.waiting());
            if (e instanceof FakeEngine engine) {
                node.put("decodedTokens", engine.state().decodedTokens());
                node.put("computedPromptTokens", engine.state().computedPromptTokens());
                node.put("startedStreams", engine.state().startedStreams());
                node.put("lastStartMillis", engine.state().lastStartMillis());
                ArrayNode prompts = node.putArray("startedPrompts");
                engine.state().startedPrompts().forEach(prompts::add);
            } else if (e instanceof FakeService service) {
                ObjectNode counts = node.putObject("executions");
                service.executions().forEach(counts::put);
            }
        }
        respond(exchange, OK, root.toString());
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }
}
