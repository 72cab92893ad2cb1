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

/** An endpoint on a raw socket that answers as its script says, with faults where asked. */
final class StandIn implements AutoCloseable {
    private final ServerSocket server;
    private final Script script;
    private final List<Seen> seen = new CopyOnWriteArrayList<>();

    /** What the endpoint does with a request. */
    @FunctionalInterface
    interface Script {

        /**
         * Writes the answer to the {@code number}th request, from 1; false closes the connection.
         */
        boolean answer(int number, Seen request, OutputStream out) throws IOException;
    }

    /** A request as it arrived. */
    record Seen(String head, String body) {

        /** Returns the value of a header, null when it is missing. */
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

    StandIn(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    List<Seen> seen() {
        return seen;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Returns a signed answer with a length. */
    static byte[] signed(Seen request, int status, String extraHeaders, String body) {
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
                Thread thread = new Thread(() -> serve(socket), "stand-in-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Seen request = read(in);
            while (request != null) {
                seen.add(request);
                if (!script.answer(seen.size(), request, socket.getOutputStream())) {
                    return;
                }
                socket.getOutputStream().flush();
                request = read(in);
            }
        } catch (IOException e) {
            // The edge closed the connection: the test looks at what it tells its client.
            return;
        }
    }

    static Seen read(InputStream in) throws IOException {
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
        return new Seen(head, new String(in.readNBytes(length), StandardCharsets.US_ASCII));
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int b = in.read();
        while (b >= 0) {
            head.write(b);
            if (b == '\n' && head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.US_ASCII);
            }
            b = in.read();
        }
        return null;
    }
}
