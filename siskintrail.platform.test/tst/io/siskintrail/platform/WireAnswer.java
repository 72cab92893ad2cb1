package io.siskintrail.platform;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Answer that a client received.
 *
 * @param status the status; 0 if the connection ended without an answer
 * @param head the status line and the headers, in lower case
 * @param body the body without its framing
 * @param whole whether the answer had its end
 */
record WireAnswer(int status, String head, String body, boolean whole) {
    private static final String LENGTH = "\ncontent-length:";

    /**
     * Reads the next answer, without what follows it.
     *
     * @param method the method of the request, on which it depends whether there is a body
     */
    static WireAnswer read(InputStream in, String method) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int octet = in.read();
            if (octet < 0) {
                return new WireAnswer(0, text.toString(), "", false);
            }
            text.append((char) octet);
        }
        String head = text.toString().toLowerCase(Locale.ROOT);
        int status = Integer.parseInt(head.substring(9, 12));
        if (status < 200) {
            return read(in, method);
        }
        if (method.equals("HEAD") || status == 204 || status == 304) {
            return new WireAnswer(status, head, "", true);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = readBody(head, in, body);
        return new WireAnswer(status, head, body.toString(StandardCharsets.US_ASCII), whole);
    }

    boolean isSigned() {
        return head.contains("\nx-replica-signature:");
    }

    private static boolean readBody(String head, InputStream in, ByteArrayOutputStream body)
            throws IOException {
        int length = head.indexOf(LENGTH);
        if (length >= 0) {
            String value = head.substring(length + LENGTH.length()).lines().findFirst().orElse("");
            int size = Integer.parseInt(value.trim());
            body.writeBytes(in.readNBytes(size));
            return body.size() == size;
        }
        try {
            int size = readSize(in);
            while (size > 0) {
                body.writeBytes(in.readNBytes(size));
                readLine(in);
                size = readSize(in);
            }
            readLine(in);
            return true;
        } catch (EOFException e) {
            return false;
        }
    }

    private static int readSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).trim(), 16);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int octet = in.read();
        while (octet != '\n') {
            if (octet < 0) {
                throw new EOFException();
            }
            line.append((char) octet);
            octet = in.read();
        }
        return line.toString();
    }
}
