import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages on plain sockets. */
final class Wire {
    private static final int MAX_LINE = 64 << 10;

    private Wire() {}

    /** Start line and headers of a message, the header names in lower case. */
    record Head(String startLine, Map<String, String> headers) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** A complete answer. */
    record Answer(int status, Head head, byte[] body) {}

    /** Makes one call on a connection of its own. */
    static Answer call(
            InetSocketAddress to, String method, String path, String body, int timeoutMillis)
            throws IOException {
        try (Socket socket = connect(to, timeoutMillis)) {
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    "%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                                    .formatted(method, path)
                            + "Connection: close\r\nContent-Length: %d\r\n\r\n"
                                    .formatted(content.length);
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(content);
            out.flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static Socket connect(InetSocketAddress to, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(to, 1_000);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    /** Reads start line and headers; returns null when the connection ends before a byte. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("connection ended in the head");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Head(start, headers);
    }

    /** Reads an answer whose body has a length or comes in chunks. */
    static Answer readAnswer(InputStream in) throws IOException {
        Head head = readHead(in);
        if (head == null) {
            throw new EOFException("connection ended before an answer");
        }
        return new Answer(head.status(), head, readBody(head, in));
    }

    static byte[] readBody(Head head, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) {
                    return all.toByteArray();
                }
                all.writeBytes(chunk);
            }
        }
        String length = head.header("content-length");
        return readFully(in, length == null ? 0 : Integer.parseInt(length));
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("connection ended before the last chunk");
        }
        int size = Integer.parseInt(line.trim(), 16);
        byte[] chunk = readFully(in, size);
        readLine(in);
        return chunk;
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection ended in the body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.length() > 0) {
                    throw new EOFException("connection ended in a line");
                }
                return null;
            }
            if (b != '\r') {
                line.append((char) b);
            }
            if (line.length() > MAX_LINE) {
                throw new IOException("line is too long");
            }
        }
        return line.toString();
    }
}
