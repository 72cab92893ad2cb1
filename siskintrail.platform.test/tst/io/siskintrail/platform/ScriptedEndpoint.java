package io.siskintrail.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/** Serves requests on a raw socket as a script says, so that a test can inject faults. */
final class ScriptedEndpoint implements AutoCloseable {
    private final ServerSocket server;
    private final Script script;
    private final boolean resets;
    private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** Responds to a request. */
    @FunctionalInterface
    interface Script {

        /**
         * Writes the response to the {@code number}th request, counted from 1; returns whether the
         * connection stays open.
         */
        boolean respond(int number, ReceivedRequest request, OutputStream out) throws IOException;
    }

    /** Holds the head and body of a request as received. */
    record ReceivedRequest(String head, String body) {

        /** Returns the value of a header, null if it is missing. */
        String header(String name) {
            for (String line : head.split("\r\n")) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).trim();
                }
            }
            return null;
        }
    }

    ScriptedEndpoint(Script script) throws IOException {
        this(script, false);
    }

    /** Starts an endpoint that, if {@code resets}, ends connections by a reset. */
    ScriptedEndpoint(Script script, boolean resets) throws IOException {
        this.script = script;
        this.resets = resets;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept, "scripted-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    List<ReceivedRequest> requests() {
        return requests;
    }

    /** Returns how many connections were accepted, with or without a request. */
    int acceptedConnections() {
        return connections.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Closes the server socket and all connections, as the system does for a process that died. */
    void crash() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    /** Returns a response with a signature and a content length. */
    static byte[] signedResponse(
            ReceivedRequest request, int status, String extraHeaders, String body) {
        String head =
                "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\n"
                        .concat("%sContent-Length: %d\r\n\r\n")
                        .formatted(
                                status,
                                request.header("X-Request-Id"),
                                extraHeaders,
                                body.length());
        return (head + body).getBytes(StandardCharsets.US_ASCII);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.add(socket);
                Thread thread = new Thread(() -> serve(socket), "scripted-endpoint-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            if (resets) {
                socket.setSoLinger(true, 0);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            ReceivedRequest request = readRequest(in);
            while (request != null) {
                requests.add(request);
                if (!script.respond(requests.size(), request, socket.getOutputStream())) {
                    return;
                }
                socket.getOutputStream().flush();
                request = readRequest(in);
            }
        } catch (IOException e) {
            // The edge closed the connection; the test checks the edge's response to its client.
            return;
        }
    }

    static ReceivedRequest readRequest(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        return new ReceivedRequest(
                head, new String(in.readNBytes(length), StandardCharsets.US_ASCII));
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int octet = in.read();
        while (octet >= 0) {
            head.write(octet);
            if (octet == '\n' && head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.US_ASCII);
            }
            octet = in.read();
        }
        return null;
    }
}
