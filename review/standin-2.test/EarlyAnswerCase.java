import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * A replica answers before it has read a long body, without a length, and its connection is reset
 * in the middle of the answer. The client must not get that part as a whole success.
 */
final class EarlyAnswerCase implements Case {
    /** Answers of the faulty replica, of which one in fifty is broken off. */
    private static final int ANSWERS = 150;

    private static final int BROKEN_EVERY = 50;

    /** Time of the sound replica for a request; the faulty one is faster and gets more of them. */
    private static final long SOUND_WORK_MILLIS = 150;

    /** Time after which fewer answers are enough, on a busy machine. */
    private static final int MAX_SECONDS = 70;


    /** Within the limit of the configuration, 4,194,304 bytes. */
    private static final int REQUEST_BYTES = 4_000_000;

    private static final int ANSWER_BYTES = 8_000;
    private static final int SENT_BYTES = 4_000;
    private static final int REPLICA_BUFFER_BYTES = 16 << 10;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final long UNTIL_RESET_MILLIS = 200;

    /** Answers at once, and reads the body later; may reset its connection in some answers. */
    private static final class EarlyReplica extends Replica {
        private final boolean mayReset;
        private final long workMillis;

        EarlyReplica(Recorder recorder, boolean mayReset, long workMillis) throws IOException {
            super(recorder);
            this.mayReset = mayReset;
            this.workMillis = workMillis;
        }

        @Override
        void answer(HttpMessage head, Socket socket) throws IOException {
            boolean resets = recordRun(head) % BROKEN_EVERY == 0 && mayReset;
            String id = head.header("X-Request-Id");
            Threads.pause(workMillis);
            byte[] body = new byte[ANSWER_BYTES];
            Arrays.fill(body, (byte) 'a');
            OutputStream out = socket.getOutputStream();
            out.write(successHead(head, "Connection: close\r\n"));
            out.write(body, 0, resets ? SENT_BYTES : ANSWER_BYTES);
            if (resets) {
                Threads.pause(UNTIL_RESET_MILLIS);
                recorder.add("replica: resets the connection of " + id + " behind " + SENT_BYTES
                        + " of " + ANSWER_BYTES + " bytes of the answer; has not read its body of "
                        + head.contentLength() + " bytes");
                socket.setSoLinger(true, 0);
                return;
            }
            head.readBody(socket.getInputStream());
            socket.shutdownOutput();
        }
    }

    public static void main(String[] args) {
        Case.exit(args, new EarlyAnswerCase());
    }

    @Override
    public int run(Recorder recorder, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, recorder);
                Replica faulty = new EarlyReplica(recorder, trouble, 0);
                Replica sound = new EarlyReplica(recorder, false, SOUND_WORK_MILLIS)) {
            faulty.start(deployment.replicaIp(0), REPLICA_BUFFER_BYTES);
            sound.start(deployment.replicaIp(1), REPLICA_BUFFER_BYTES);
            try (Heartbeats beats =
                    deployment.startWithReplicas(ShopConfiguration.withTenant(1), 2)) {
                return judge(recorder, deployment, faulty);
            }
        }
    }

    private static int judge(Recorder recorder, Deployment deployment, Replica faulty) {
        int sent = 0;
        int whole = 0;
        int wrong = 0;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_SECONDS);
        while (faulty.runs() < ANSWERS && System.nanoTime() < end) {
            String answer = request(deployment, "%016x".formatted(0x5eed0000L + sent));
            sent++;
            whole += answer.startsWith("whole") ? 1 : 0;
            if (!answer.startsWith("whole")) {
                recorder.add("client: request " + sent + ": " + answer);
            }
            wrong += answer.startsWith("WRONG") ? 1 : 0;
        }
        recorder.add("sent " + sent + ", run by the faulty replica " + faulty.runs()
                + ", answered whole " + whole + ", with a part that looks complete " + wrong);
        if (faulty.runs() < BROKEN_EVERY) {
            throw new Deployment.CannotRun("too few requests reached the faulty replica");
        }
        return wrong > 0 ? BROKEN : HELD;
    }

    /** Returns what the client got: "WRONG" for a part of an answer that looks complete. */
    private static String request(Deployment deployment, String id) {
        try (Socket socket = new Socket(deployment.edgeIp(0), deployment.frontPort())) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(
                    ShopConfiguration.requestHead(
                            ShopConfiguration.REPORTS,
                            id,
                            ShopConfiguration.KEY,
                            DEADLINE_MILLIS,
                            REQUEST_BYTES));
            byte[] body = new byte[REQUEST_BYTES];
            Arrays.fill(body, (byte) 'q');
            out.write(body);
            InputStream in = socket.getInputStream();
            HttpMessage head = HttpMessage.readHead(in);
            if (head == null) {
                return "closed without an answer";
            }
            boolean signed = head.header("X-Replica-Signature") != null;
            byte[] answer = head.readBody(in);
            String got =
                    "%s, signed %s, Content-Length %s, %d bytes"
                            .formatted(
                                    head.firstLine(),
                                    signed,
                                    head.header("Content-Length"),
                                    answer.length);
            if (head.status() != 200) {
                return got;
            }
            return (answer.length == ANSWER_BYTES ? "whole: " : "WRONG, a part as a whole: ") + got;
        } catch (IOException e) {
            return "broken off: " + e;
        }
    }
}
