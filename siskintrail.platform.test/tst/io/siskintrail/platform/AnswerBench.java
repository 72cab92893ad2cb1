package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An edge, an application and an engine that record what they answer to each request, so that an
 * answer to another request, or with another status, is noticed.
 */
final class AnswerBench implements AutoCloseable {
    /** Time in which the edge reads what was written before. */
    static final long READ_MILLIS = 10;

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":3},
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":200,"priority":1,"service":"app","maxAttempts":3},
             {"name":"once-brief","host":"h.example","pathPrefix":"/once-brief/","kind":"unsafe",
              "timeoutMs":400,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":3},
             {"name":"safe-brief","host":"h.example","pathPrefix":"/safe-brief/","kind":"safe",
              "timeoutMs":400,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":3},
             {"name":"gen","host":"h.example","pathPrefix":"/gen/","kind":"streaming",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"llm",
              "maxAttempts":3,"resumable":true,"targetGapMs":700}],
             "services":[{"name":"app"},{"name":"llm","engine":{"slots":4,"kvCapacityTokens":88000,
              "stride":6,"handleS":4.0}}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    private final LoopbackSystem system;
    private final ScriptedEndpoint app;
    private final ScriptedEndpoint engine;
    private final Map<String, List<Given>> givenById = new ConcurrentHashMap<>();
    private final Map<OutputStream, ReceivedRequest> last = new ConcurrentHashMap<>();
    private final List<String> wrong = new CopyOnWriteArrayList<>();
    private volatile Script script;
    private int requests;

    /** Answers requests. */
    @FunctionalInterface
    interface Script {

        /**
         * Writes the answer to a request; returns whether the connection stays open.
         *
         * @param before the request before on the connection; null if the connection is new
         */
        boolean respond(ReceivedRequest request, ReceivedRequest before, OutputStream out)
                throws IOException;
    }

    /** Answer that an endpoint gave. */
    private record Given(int status, boolean ran, String body) {}

    AnswerBench(Path folder) throws Exception {
        system = new LoopbackSystem(folder);
        system.configure(CONFIGURATION);
        app = newEndpoint();
        engine = newEndpoint();
        system.register("app-1", "app", app.address(), "a");
        system.register("engine-1", "llm", engine.address(), "a");
        system.awaitReady("spare");
    }

    /** Starts an endpoint that follows the script; the caller registers and closes it. */
    ScriptedEndpoint newEndpoint() throws IOException {
        return new ScriptedEndpoint(
                (number, request, out) -> {
                    ReceivedRequest before = last.put(out, request);
                    return script.respond(request, before, out);
                });
    }

    LoopbackSystem system() {
        return system;
    }

    /** Registers the application under another ID, too. */
    void register(String id) throws Exception {
        system.register(id, "app", app.address(), "a");
    }

    /** Sets the script of the next case, which meets no connection of the one before. */
    void begin(Script next) throws IOException {
        for (OutputStream out : last.keySet()) {
            out.close();
        }
        last.clear();
        Http.sleep(READ_MILLIS);
        script = next;
    }

    /** Returns an ID that no request has had. */
    synchronized String newId() {
        requests++;
        return "id-%08d".formatted(requests);
    }

    /** Returns the whole answer to {@code request}, and records it as the one that was given. */
    byte[] answer(ReceivedRequest request, int status) {
        String id = request.header("X-Request-Id");
        String body = body("first", id, status);
        boolean ran = status != 503;
        givenById
                .computeIfAbsent(id, i -> new CopyOnWriteArrayList<>())
                .add(new Given(status, ran, body));
        return Http.toBytes(
                "HTTP/1.1 %d X\r\n%s".formatted(status, ran ? "" : "X-Not-Executed: 1\r\n")
                        + "X-Request-Id: %s\r\nX-Replica-Signature: s\r\n".formatted(id)
                        + "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body));
    }

    /** Returns the body of an answer, which passes for an event of a stream, too. */
    static String body(String which, String id, int status) {
        return "id: 1\ndata: %s answer to %s, %d\n\n".formatted(which, id, status);
    }

    /** Records the answer with the body {@code body} as the one that was given. */
    void recordGiven(ReceivedRequest request, int status, String body) {
        givenById
                .computeIfAbsent(request.header("X-Request-Id"), i -> new CopyOnWriteArrayList<>())
                .add(new Given(status, true, body));
    }

    /** Sends a request on a connection of its own and checks the answer. */
    WireAnswer send(String path, String id) throws IOException {
        try (Socket socket = system.connect()) {
            socket.getOutputStream().write(request(path, id, "Connection: close\r\n"));
            return receive(socket.getInputStream(), path, id);
        }
    }

    /** Reads and checks the answer to a request after which the connection is closed. */
    WireAnswer receive(InputStream in, String path, String id) throws IOException {
        WireAnswer answer = WireAnswer.read(in, method(path));
        check(path, id, answer);
        byte[] rest = in.readAllBytes();
        if (rest.length > 0) {
            wrong.add("%s %s: %d bytes behind the answer".formatted(path, id, rest.length));
        }
        return answer;
    }

    /** Returns a request; those that run at most once have a body in chunks. */
    static byte[] request(String path, String id, String headers) {
        String head =
                "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                                .formatted(method(path), path, id)
                        + "X-Request-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n"
                        + headers;
        boolean hasBody = method(path).equals("POST");
        String body = hasBody ? "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" : "\r\n";
        return Http.toBytes(head + body);
    }

    private static String method(String path) {
        if (path.endsWith("head")) {
            return "HEAD";
        }
        return path.startsWith("/safe") ? "GET" : "POST";
    }

    /** Records the answer to a request as wrong if no endpoint gave it. */
    void check(String path, String id, WireAnswer answer) {
        List<Given> given = givenById.getOrDefault(id, List.of());
        boolean success = answer.status() / 100 == 2;
        boolean mustBeGiven = answer.isSigned() || success;
        boolean isBodiless = method(path).equals("HEAD") || answer.status() == 204;
        boolean isGiven =
                given.stream()
                        .anyMatch(
                                g ->
                                        g.status() == answer.status()
                                                && (isBodiless || g.body().equals(answer.body())));
        boolean promisesNotRun = answer.status() == 503 || answer.status() == 429;
        boolean ran = given.stream().anyMatch(Given::ran);
        if (mustBeGiven && (!isGiven || !answer.isSigned()) && answer.whole()
                || !path.startsWith("/safe") && !isGiven && promisesNotRun && ran) {
            wrong.add("%s %s: given %s, received %s".formatted(path, id, given, answer));
        }
    }

    /** Fails if a wrong answer was received, and shows all of them. */
    void assertNoneWrong() {
        List<String> found = new ArrayList<>(wrong);
        wrong.clear();
        assertWithMessage(String.join("\n", found)).that(found).isEmpty();
    }

    /** Names the case to which the wrong answers since the last case belong. */
    void nameWrong(String name) {
        wrong.replaceAll(text -> text.startsWith("<") ? text : "<" + name + "> " + text);
    }

    @Override
    public void close() throws IOException {
        system.close();
        app.close();
        engine.close();
    }
}
