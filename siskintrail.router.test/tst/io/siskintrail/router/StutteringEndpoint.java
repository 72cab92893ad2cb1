package io.siskintrail.router;

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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint over real sockets that answers its first request twice, as a {@link Stutter} says,
 * and every other request once. Its answers name the request that they answer.
 */
public final class StutteringEndpoint implements AutoCloseable {
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String FIRST_HEADER = "X-Filler: filler";
    private static final int IDLE_MILLIS = 60;
    private static final int MAX_WAIT_SECONDS = 10;

    private final Stutter stutter;
    private final Answers answers;
    private final ServerSocket listener;
    private final AtomicInteger requests = new AtomicInteger();
    private final List<AtomicInteger> requestsByConnection = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final CountDownLatch firstIsOver = new CountDownLatch(1);

    /** Makes the bytes of answers. */
    @FunctionalInterface
    public interface Answers {
        /**
         * Returns an answer with {@link StutteringEndpoint#head(int, String)}.
         *
         * @param status its status
         * @param label what tells it from the other answers
         */
        byte[] of(int status, String label);
    }

    /** Listens on a free port of the loopback address. */
    public StutteringEndpoint(Stutter stutter, Answers answers) throws IOException {
        this.stutter = stutter;
        this.answers = answers;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    /**
     * Returns the head of an answer.
     *
     * @param status its status
     * @param headers its headers without the last line end
     */
    public static String head(int status, String headers) {
        return "HTTP/1.1 %d Reason\r\n%s\r\n%s%s"
                .formatted(status, FIRST_HEADER, headers, END_OF_HEAD);
    }

    /** Returns an answer whose length its head names. */
    public static byte[] whole(int status, String contentType, String body) {
        String headers =
                "Content-Type: %s\r\nContent-Length: %d".formatted(contentType, body.length());
        return bytes(head(status, headers) + body);
    }

    /** Returns {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Waits until the next request may come. */
    public void awaitMoment() throws InterruptedException {
        if (stutter.moment() == Stutter.Moment.IDLE
                && !firstIsOver.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the first request did not come");
        }
        if (stutter.moment() != Stutter.Moment.NEXT) {
            Thread.sleep(IDLE_MILLIS);
        }
    }

    /** Returns how many requests each connection carried, in the order of the connections. */
    public List<Integer> requestsByConnection() {
        return requestsByConnection.stream().map(AtomicInteger::get).toList();
    }

    /** Returns how many connections the client has not closed. */
    public int openConnections() {
        return open.size();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            AtomicInteger count = new AtomicInteger();
            open.add(socket);
            requestsByConnection.add(count);
            start(() -> serve(socket, count));
        }
    }

    private void serve(Socket socket, AtomicInteger count) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean stuttered = false;
            while (readRequest(in)) {
                count.incrementAndGet();
                int request = requests.incrementAndGet();
                if (request == 1) {
                    stuttered = true;
                    answerFirst(socket.getOutputStream());
                } else {
                    boolean due = stuttered && stutter.moment() == Stutter.Moment.NEXT;
                    byte[] answer = answers.of(stutter.next(), "next");
                    write(socket.getOutputStream(), due ? joined(late(), answer) : answer);
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    private void answerFirst(OutputStream out) throws IOException {
        byte[] first = answers.of(stutter.first(), "first");
        try {
            switch (stutter.moment()) {
                case AT_ONCE -> write(out, joined(first, late()));
                case IDLE -> {
                    write(out, first);
                    Thread.sleep(IDLE_MILLIS);
                    write(out, late());
                }
                default -> write(out, first);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            firstIsOver.countDown();
        }
    }

    private byte[] late() {
        byte[] whole = answers.of(stutter.late(), "late");
        String text = new String(whole, StandardCharsets.ISO_8859_1);
        return switch (stutter.form()) {
            case WHOLE -> whole;
            case CUT_IN_STATUS -> bytes(text.substring(0, text.indexOf("\r\n") - 1));
            case CUT_IN_HEADER ->
                    bytes(
                            text.substring(
                                    0, text.indexOf(FIRST_HEADER) + FIRST_HEADER.length() - 1));
        };
    }

    /** Reads a request with a length or without a body; returns false at the end. */
    private static boolean readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            int c = in.read();
            if (c < 0) {
                return false;
            }
            head.append((char) c);
        }
        String length = "content-length:";
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(length)) {
                in.readNBytes(Integer.parseInt(line.substring(length.length()).trim()));
            }
        }
        return true;
    }

    private static byte[] joined(byte[] one, byte[] two) {
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(one);
        both.writeBytes(two);
        return both.toByteArray();
    }

    private static void write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void start(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException ignored) {
                                // The client or the test closed the connection.
                            }
                        },
                        "stuttering-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    /** What a thread does. */
    @FunctionalInterface
    private interface Work {
        void run() throws IOException;
    }
}
