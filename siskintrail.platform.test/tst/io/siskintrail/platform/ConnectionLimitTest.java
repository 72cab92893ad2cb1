package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint that accepts few connections and resets those beyond. */
@Timeout(60)
class ConnectionLimitTest {
    private static final int MAX_CONNECTIONS = 2;
    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
              "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"app","maxAttempts":3},
             {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
              "timeoutMs":3000,"targetLatencyMs":900,"priority":1,"service":"app","maxAttempts":3}],
             "services":[{"name":"app","maxConnections":2},{"name":"llm"}],
             "tenants":[{"name":"acme","apiKeys":["key-1"]}]}
            """;

    @TempDir Path folder;

    /** Guards against connections without a request that take the places of requests. */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x"})
    void answeredConnectionsLeaveRoomForRequests(String path) throws Exception {
        AtomicInteger open = new AtomicInteger();
        try (LoopbackSystem system = new LoopbackSystem(folder);
                ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            new Thread(() -> accept(server, open)).start();
            system.configure(CONFIGURATION);
            system.register("e1", "app", "127.0.0.1:" + server.getLocalPort(), "a");
            system.awaitReady("llm");
            List<String> statuses = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                String request = Http.request("POST", path, "key-1", "p");
                String answer = system.sendRaw(request.replace("Id: r1", "Id: r" + i));
                statuses.add(answer.substring(9, 12));
                Http.sleep(50);
            }
            assertThat(statuses).containsExactly("200", "200", "200", "200", "200", "200");
        }
    }

    private static void accept(ServerSocket server, AtomicInteger open) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                if (open.incrementAndGet() > MAX_CONNECTIONS) {
                    open.decrementAndGet();
                    socket.setSoLinger(true, 0);
                    socket.close();
                    continue;
                }
                new Thread(() -> serve(socket, open)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket socket, AtomicInteger open) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            ScriptedEndpoint.ReceivedRequest request = ScriptedEndpoint.readRequest(in);
            while (request != null) {
                socket.getOutputStream()
                        .write(ScriptedEndpoint.signedResponse(request, 200, "", "good"));
                request = ScriptedEndpoint.readRequest(in);
            }
        } catch (IOException e) {
            return;
        } finally {
            open.decrementAndGet();
        }
    }
}
