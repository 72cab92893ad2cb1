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

    /** Returns whether the response announces the end of its connection. */
    static boolean announcesClose(String head) {
        return head.toLowerCase().contains("connection: close");
    }
}
