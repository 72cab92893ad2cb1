package io.siskintrail.platform;

import java.io.IOException;
import java.io.InputStream;

/** Reads the parts of HTTP/1.1 responses from the connection of a soak client. */
final class SoakWire {
    private SoakWire() {}

    /** Returns the head of the next response, with the empty line. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int octet = in.read();
            if (octet < 0) {
                throw new IOException("connection closed before the end of the response head");
            }
            head.append((char) octet);
        }
        return head.toString();
    }

    static int parseStatus(String head) throws IOException {
        if (!head.startsWith("HTTP/1.1 ")) {
            throw new IOException("not an HTTP response: " + head);
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    /** Returns the next chunk, empty for the last one, null if the stream ended early. */
    static String readChunk(InputStream in) throws IOException {
        StringBuilder size = new StringBuilder();
        while (size.indexOf("\r\n") < 0) {
            int octet = in.read();
            if (octet < 0) {
                return null;
            }
            size.append((char) octet);
        }
        int byteCount = Integer.parseInt(size.substring(0, size.length() - 2), 16);
        byte[] data = in.readNBytes(byteCount + 2);
        return data.length < byteCount + 2 ? null : new String(data, 0, byteCount);
    }

    /** Returns the whole body of an answer: in chunks, with a length, or up to the end. */
    static String readBody(InputStream in, String head) throws IOException {
        if (header(head, "Transfer-Encoding") != null) {
            StringBuilder body = new StringBuilder();
            String chunk = readChunk(in);
            while (chunk != null && !chunk.isEmpty()) {
                body.append(chunk);
                chunk = readChunk(in);
            }
            if (chunk == null) {
                throw new IOException("body ended before its last chunk");
            }
            return body.toString();
        }
        String length = header(head, "Content-Length");
        if (length == null) {
            return new String(in.readAllBytes());
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new IOException("body ended early");
        }
        return new String(body);
    }

    /** Returns the value of a header, null if it is missing. */
    static String header(String head, String name) {
        return new ScriptedEndpoint.ReceivedRequest(head, "").header(name);
    }

    /** Returns whether the response announces the end of its connection. */
    static boolean announcesClose(String head) {
        return head.toLowerCase().contains("connection: close");
    }
}
