package io.siskintrail.testkit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * HTTP endpoint that reads only the head of a request and then follows a script, which may answer
 * before it reads the body. Its receive buffer holds a few kilobytes, so that the rest of a longer
 * body stays unsent.
 */
public final class EarlyEndpoint implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;
    private static final String LENGTH = "content-length:";

    private final ServerSocket server = new ServerSocket();
    private final Script script;
    private final AtomicInteger requests = new AtomicInteger();
    private final List<String> heads = new CopyOnWriteArrayList<>();

    /** Serves requests. */
    @FunctionalInterface
    public interface Script {

        /**
         * Answers a request whose body is still unread. A further request of the connection is
         * served only if the script reads the body.
         *
         * @param number the number of the request, counted from 1
         * @param head the head of the request, with its empty line
         * @return whether the connection stays open
         * @throws IOException when the connection fails, which ends it
         */
        boolean serve(int number, String head, Socket socket) throws IOException;
    }

    /**
     * Listens on a free port of the loopback address.
     *
     * @throws IOException when there is none
     */
    public EarlyEndpoint(Script script) throws IOException {
        this.script = script;
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        start(this::accept);
    }

    /** Returns {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the heads of the requests that came, in their order. */
    public List<String> heads() {
        return heads;
    }

    /** Writes {@code text}, in US-ASCII. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Reads and returns the body of a request whose head names its length. */
    public static byte[] readBody(String head, Socket socket) throws IOException {
        return socket.getInputStream().readNBytes(bodyLength(head));
    }

    /** Lets the next close of {@code socket} reset its connection. */
    public static void resetOnClose(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
    }

    /** Closes the server socket; open connections stay open. */
    @Override
    public void close() throws IOException {
        server.close();
    }

    private static int bodyLength(String head) {
        return head.lines()
                .map(line -> line.toLowerCase(Locale.ROOT))
                .filter(line -> line.startsWith(LENGTH))
                .mapToInt(line -> Integer.parseInt(line.substring(LENGTH.length()).trim()))
                .findFirst()
                .orElse(0);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            while (head != null) {
                heads.add(head);
                if (!script.serve(requests.incrementAndGet(), head, socket)) {
                    return;
                }
                head = readHead(socket.getInputStream());
            }
        } catch (IOException e) {
            // The client closed the connection; the test checks what it took for the answer.
            return;
        }
    }

    /** Returns a head, null if the connection ends before it is whole. */
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

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "early-endpoint");
        thread.setDaemon(true);
        thread.start();
    }
}
