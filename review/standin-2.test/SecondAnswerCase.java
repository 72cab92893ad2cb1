import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * A replica breaks its answer off in the middle of the body and sends a second answer to the same
 * request on the same connection. The client must not get a mixture of both as a whole success.
 */
final class SecondAnswerCase implements Case {
    /** Answers of the faulty replica, of which one in fifty is broken off. */
    private static final int ANSWERS = 200;

    private static final int BROKEN_EVERY = 50;

    /** Time of the sound replica for a request; the faulty one is faster and gets more of them. */
    private static final long SOUND_WORK_MILLIS = 150;

    /** Time after which fewer answers are enough, on a busy machine. */
    private static final int MAX_SECONDS = 70;

    private static final int BODY_BYTES = 8_000;
    private static final int SENT_BYTES = 4_000;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final long UNTIL_SECOND_MILLIS = 50;
    private static final long UNTIL_CLOSE_MILLIS = 200;

    /** May break some answers off and send each of these a second time. */
    private static final class TwiceReplica extends Replica {
        private final boolean mayBreakOff;
        private final long workMillis;

        TwiceReplica(Recorder recorder, boolean mayBreakOff, long workMillis) throws IOException {
            super(recorder);
            this.mayBreakOff = mayBreakOff;
            this.workMillis = workMillis;
        }

        @Override
        void answer(HttpMessage head, Socket socket) throws IOException {
            head.readBody(socket.getInputStream());
            boolean breaksOff = recordRun(head) % BROKEN_EVERY == 0 && mayBreakOff;
            Threads.pause(workMillis);
            byte[] answer = wholeAnswer(head);
            OutputStream out = socket.getOutputStream();
            if (!breaksOff) {
                out.write(answer);
                return;
            }
            int sent = answer.length - (BODY_BYTES - SENT_BYTES);
            out.write(answer, 0, sent);
            Threads.pause(UNTIL_SECOND_MILLIS);
            out.write(answer);
            recorder.add("replica: " + head.header("X-Request-Id") + ": sent " + sent + " of "
                    + answer.length + " bytes, then the whole answer again");
            Threads.pause(UNTIL_CLOSE_MILLIS);
        }

        private static byte[] wholeAnswer(HttpMessage head) throws IOException {
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.write(successHead(head, "Content-Length: " + BODY_BYTES + "\r\n"));
            answer.write(body());
            return answer.toByteArray();
        }
    }

    public static void main(String[] args) {
        Case.exit(args, new SecondAnswerCase());
    }

    @Override
    public int run(Recorder recorder, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, recorder);
                Replica faulty = new TwiceReplica(recorder, trouble, 0);
                Replica sound = new TwiceReplica(recorder, false, SOUND_WORK_MILLIS)) {
            faulty.start(deployment.replicaIp(0), 0);
            sound.start(deployment.replicaIp(1), 0);
            try (Heartbeats beats =
                    deployment.startWithReplicas(ShopConfiguration.withTenant(1), 2)) {
                return judge(recorder, deployment, faulty);
            }
        }
    }

    private static int judge(Recorder recorder, Deployment deployment, Replica faulty) {
        int sent = 0;
        int whole = 0;
        int mixed = 0;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_SECONDS);
        while (faulty.runs() < ANSWERS && System.nanoTime() < end) {
            String answer = request(deployment, "%016x".formatted(0x5eed0000L + sent));
            sent++;
            whole += answer.startsWith("whole") ? 1 : 0;
            if (!answer.startsWith("whole")) {
                recorder.add("client: request " + sent + ": " + answer);
            }
            mixed += answer.startsWith("MIXED") ? 1 : 0;
        }
        recorder.add("sent " + sent + ", run by the faulty replica " + faulty.runs()
                + ", answered whole " + whole + ", with a mixed body " + mixed);
        if (faulty.runs() < BROKEN_EVERY) {
            throw new Deployment.CannotRun("too few requests reached the faulty replica");
        }
        return mixed > 0 ? BROKEN : HELD;
    }

    /** Returns what the client got. */
    private static String request(Deployment deployment, String id) {
        try (Socket socket = new Socket(deployment.edgeIp(0), deployment.frontPort())) {
            socket.setSoTimeout(2 * DEADLINE_MILLIS);
            socket.getOutputStream()
                    .write(
                            ShopConfiguration.requestHead(
                                    ShopConfiguration.ORDERS,
                                    id,
                                    ShopConfiguration.KEY,
                                    DEADLINE_MILLIS,
                                    0));
            InputStream in = socket.getInputStream();
            HttpMessage head = HttpMessage.readHead(in);
            if (head == null) {
                return "closed without an answer";
            }
            byte[] answer = head.readBody(in);
            if (head.status() != 200) {
                return head.firstLine();
            }
            boolean signed = head.header("X-Replica-Signature") != null;
            String got = head.firstLine() + ", signed " + signed + ", " + answer.length + " bytes";
            boolean whole = Arrays.equals(answer, body());
            return whole ? "whole: " + got : "MIXED: " + got + ", not those of the answer";
        } catch (IOException e) {
            return "broken off: " + e;
        }
    }

    private static byte[] body() {
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) ('a' + i % 26);
        }
        return body;
    }
}
