package io.siskintrail.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.Queue;

/** Connection of an endpoint that answers twice; one answer at a time is written. Thread-safe. */
final class SoakTwiceConnection {
    private static final int PARTS = 5;
    private static final int PAUSE_MILLIS = 12;

    private final OutputStream out;
    private final SoakRecorder recorder;
    private final Queue<DueAnswer> due = new ArrayDeque<>();
    private boolean requestWaits;
    private boolean lastAnswerWritten;
    private int requestNumber;
    private int secondsBehindLastRequest;

    /** Second answer that is written when the next request has come. */
    interface DueAnswer {
        void write() throws IOException;
    }

    SoakTwiceConnection(OutputStream out, SoakRecorder recorder) {
        this.out = out;
        this.recorder = recorder;
    }

    /**
     * Records that a request has come, and which second answers it finds on the connection.
     *
     * @return number of the request on this connection, from 1
     */
    synchronized int beginRequest() {
        requestWaits = true;
        for (; secondsBehindLastRequest > 0; secondsBehindLastRequest--) {
            recorder.increment("second met a later request");
        }
        return ++requestNumber;
    }

    synchronized void endRequest() {
        requestWaits = false;
    }

    /** Records that a second answer to the given request was written. */
    synchronized void recordSecond(int request) {
        if (requestWaits && request < requestNumber) {
            recorder.increment("second met a later request");
        } else {
            secondsBehindLastRequest++;
        }
    }

    /** Keeps a second answer until the next request has come. */
    synchronized void addDue(DueAnswer answer) {
        due.add(answer);
    }

    /** Writes the second answers that were kept for this moment. */
    synchronized void writeDue() throws IOException {
        while (!due.isEmpty()) {
            due.remove().write();
        }
    }

    /**
     * Writes an answer that nothing but the end of the connection ends. Bytes behind it would
     * belong to its body, so that later writes fail.
     */
    synchronized void writeLast(String text) throws IOException {
        writeInParts(text);
        lastAnswerWritten = true;
    }

    synchronized void writeWhole(String text) throws IOException {
        if (lastAnswerWritten) {
            throw new IOException("the last answer of the connection was written");
        }
        out.write(Http.toBytes(text));
        out.flush();
    }

    /** Writes the head in parts, and the body in parts, with pauses. */
    synchronized void writeInParts(String text) throws IOException {
        int headLength = text.lastIndexOf("\r\n\r\n");
        int length = headLength < 0 ? text.length() : headLength;
        writePieces(text.substring(0, length));
        writePieces(text.substring(length));
    }

    /** Writes the head of a stream, and then its chunks, one after another. */
    synchronized void writeEvents(String text, int intervalMillis) throws IOException {
        for (String piece : text.split("(?<=\n\n\r\n)")) {
            writeWhole(piece);
            Http.sleep(intervalMillis);
        }
    }

    /** Writes the first half of an answer; nothing may follow, as behind {@link #writeLast}. */
    synchronized void writeBroken(String text) throws IOException {
        writeWhole(text.substring(0, text.length() / 2));
        lastAnswerWritten = true;
    }

    private void writePieces(String text) throws IOException {
        int size = Math.max(1, text.length() / PARTS);
        for (int from = 0; from < text.length(); from += size) {
            writeWhole(text.substring(from, Math.min(text.length(), from + size)));
            Http.sleep(PAUSE_MILLIS);
        }
    }
}
