import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head of an HTTP message, and the reading of bodies. */
record HttpMessage(String firstLine, Map<String, String> headers) {

    /** Reads a head; returns null if the connection ends before its first byte. */
    static HttpMessage readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the head ends early");
            }
            bytes.write(b);
            boolean expected = b == (state % 2 == 0 ? '\r' : '\n');
            state = expected ? state + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
                headers.put(name, lines[i].substring(colon + 1).trim());
            }
        }
        return new HttpMessage(lines[0], headers);
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    int contentLength() {
        String length = header("Content-Length");
        return length == null ? -1 : Integer.parseInt(length);
    }

    /** Reads a body that has a length or comes in chunks; throws if it ends early. */
    byte[] readBody(InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                body.write(readFully(in, size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        return readFully(in, Math.max(0, contentLength()));
    }

    private static byte[] readFully(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body ends early");
        }
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("a line ends early");
            }
            if (b == '\n') {
                return line.toString().replace("\r", "");
            }
            line.append((char) b);
        }
    }
}
