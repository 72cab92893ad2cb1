package io.siskintrail.router;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One connection of a caller that writes requests and reads answers each when it likes. */
final class RawCaller implements AutoCloseable {
    private static final int READ_MILLIS = 30_000;
    private static final String LENGTH = "content-length:";
    private static final String CHUNKED = "transfer-encoding: chunked";
    private static final int HEX = 16;

    private final Socket socket;
    private final OutputStream out;
    private final InputStream in;

    /**
     * An answer.
     *
     * @param status its status
     * @param body its body without the marks of chunks
     */
    record Answer(int status, String body) {}

    RawCaller(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        socket =
                new Socket(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        socket.setSoTimeout(READ_MILLIS);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Writes the bytes of one request or of several. */
    void write(String requests) throws IOException {
        out.write(requests.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads the next answer. */
    Answer read() throws IOException {
        String line = line();
        int status = Integer.parseInt(line.split(" ")[1]);
        int length = 0;
        boolean chunked = false;
        while (!line.isEmpty()) {
            line = line().toLowerCase(Locale.ROOT);
            chunked |= line.startsWith(CHUNKED);
            if (line.startsWith(LENGTH)) {
                length = Integer.parseInt(line.substring(LENGTH.length()).trim());
            }
        }
        return new Answer(status, chunked ? chunks() : text(length));
    }

    /** Reads one line, which may be of a body. */
    String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("after " + line);
            }
            line.append((char) c);
        }
        return line.toString().trim();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private String chunks() throws IOException {
        StringBuilder body = new StringBuilder();
        int size = Integer.parseInt(line(), HEX);
        while (size > 0) {
            body.append(text(size));
            line();
            size = Integer.parseInt(line(), HEX);
        }
        line();
        return body.toString();
    }

    private String text(int length) throws IOException {
        return new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }
}
