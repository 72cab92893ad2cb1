import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * More clients than usual send long bodies, each within the limit, to an edge at the same time.
 * Meanwhile other clients send short requests, which must be answered by the time-out of their
 * route.
 */
final class UploadsCase implements Case {
    /** Clients that send a long body at the same time on usual days. */
    private static final int USUAL_UPLOADS = 6;

    /** The same in a burst of 2.5 times the traffic. */
    private static final int BURST_UPLOADS = 15;

    /** Within the limit of the configuration, 4,194,304 bytes. */
    private static final int BODY_BYTES = 4_000_000;

    private static final int PIECE_BYTES = 50_000;
    private static final long PIECE_PAUSE_MILLIS = 25;
    private static final int UPLOAD_DEADLINE_MILLIS = 20_000;
    private static final int SHORT_CLIENTS = 10;
    private static final long SHORT_PAUSE_MILLIS = 100;
    private static final int SHORT_DEADLINE_MILLIS = 1_500;

    /** Time-out of the route of the short requests. */
    private static final int TIMEOUT_MILLIS = 800;

    private static final int LATE_MILLIS = 500;

    /** Late requests from which on more is not chance; the rule on time-outs names eight. */
    private static final int MIN_LATE = 8;

    private static final int RUN_SECONDS = 20;
    private static final long CALM_MILLIS = 4_000;

    private final Map<String, Integer> shortResults = new TreeMap<>();
    private final Map<String, Integer> uploadResults = new TreeMap<>();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    public static void main(String[] args) {
        Case.exit(args, new UploadsCase());
    }

    @Override
    public int run(Recorder recorder, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, recorder);
                Replica replica = new Replica(recorder)) {
            replica.start(deployment.replicaIp(0), 0);
            try (Heartbeats beats =
                    deployment.startWithReplica(ShopConfiguration.withTenant(1), 64)) {
                send(recorder, deployment, replica, trouble ? BURST_UPLOADS : USUAL_UPLOADS);
            }
        }
        recorder.add("short requests " + shortResults);
        recorder.add("long requests " + uploadResults);
        recorder.add("short requests unanswered at the time-out: " + unanswered
                + ", of these half a second later: " + late);
        boolean broken = late.get() >= MIN_LATE && 2 * late.get() > unanswered.get();
        return broken ? BROKEN : HELD;
    }

    private void send(Recorder recorder, Deployment deployment, Replica replica, int uploads)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RUN_SECONDS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            int client = i;
            Runnable task = () -> sendShort(recorder, deployment, replica, client, end);
            threads.add(Threads.daemon("short-" + i, task));
        }
        Thread.sleep(CALM_MILLIS);
        recorder.add(uploads + " clients begin to send " + BODY_BYTES + " bytes each");
        for (int i = 0; i < uploads; i++) {
            int client = i;
            Runnable task = () -> sendLong(recorder, deployment, replica, client);
            threads.add(Threads.daemon("long-" + i, task));
        }
        for (Thread t : threads) {
            t.join(TimeUnit.SECONDS.toMillis(2 * RUN_SECONDS));
        }
    }

    /** Sends an order every now and then, each on a connection of its own. */
    private void sendShort(
            Recorder recorder, Deployment deployment, Replica replica, int client, long end) {
        int i = 0;
        while (System.nanoTime() < end) {
            String id = "%08x%08x".formatted(0x5a000000 + client, i++);
            long sentAt = System.nanoTime();
            String result =
                    exchange(deployment, ShopConfiguration.ORDERS, id, 0, SHORT_DEADLINE_MILLIS);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            if (millis > TIMEOUT_MILLIS) {
                unanswered.incrementAndGet();
                recorder.add("client: short " + id + ": " + result + " after " + millis
                        + " ms, run " + replica.hasRun(id));
            }
            if (millis > TIMEOUT_MILLIS + LATE_MILLIS) {
                late.incrementAndGet();
            }
            count(shortResults, result);
            Threads.pause(SHORT_PAUSE_MILLIS);
        }
    }

    private void sendLong(
            Recorder recorder, Deployment deployment, Replica replica, int client) {
        String id = "%08x%08x".formatted(0x7a000000, client);
        String result =
                exchange(
                        deployment,
                        ShopConfiguration.REPORTS,
                        id,
                        BODY_BYTES,
                        UPLOAD_DEADLINE_MILLIS);
        recorder.add("client: long " + id + ": " + result + ", run " + replica.hasRun(id));
        count(uploadResults, result);
    }

    private static String exchange(
            Deployment deployment, String prefix, String id, int bodyBytes, int deadlineMillis) {
        try (Socket socket = new Socket(deployment.edgeIp(0), deployment.frontPort())) {
            socket.setSoTimeout(deadlineMillis);
            OutputStream out = socket.getOutputStream();
            out.write(
                    ShopConfiguration.requestHead(
                            prefix, id, ShopConfiguration.KEY, deadlineMillis, bodyBytes));
            byte[] piece = new byte[PIECE_BYTES];
            for (int sent = 0; sent < bodyBytes; sent += PIECE_BYTES) {
                out.write(piece, 0, Math.min(PIECE_BYTES, bodyBytes - sent));
                Threads.pause(PIECE_PAUSE_MILLIS);
            }
            HttpMessage head = HttpMessage.readHead(socket.getInputStream());
            if (head == null) {
                return "closed without an answer";
            }
            head.readBody(socket.getInputStream());
            return Integer.toString(head.status());
        } catch (SocketTimeoutException e) {
            return "no answer by the deadline";
        } catch (IOException e) {
            return "broken off: " + e.getMessage();
        }
    }

    private static void count(Map<String, Integer> counts, String result) {
        synchronized (counts) {
            counts.merge(result, 1, Integer::sum);
        }
    }
}
