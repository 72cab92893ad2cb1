import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;

/**
 * A replica answers before it has read a long body, without a length, and its connection is reset
 * in the middle of the answer. The client must not get that part as a whole success.
 */
final class EarlyAnswerCase implements Case {
    private static final int REQUESTS = 10;

    /** Within the limit of the configuration, 4,194,304 bytes. */
    private static final int REQUEST_BYTES = 4_000_000;

    private static final int ANSWER_BYTES = 8_000;
    private static final int SENT_BYTES = 4_000;
    private static final int REPLICA_BUFFER_BYTES = 16 << 10;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final long UNTIL_RESET_MILLIS = 200;

    /** Answers at once, and reads the body later. */
    private static final class EarlyReplica extends Replica {
        private final boolean resets;

        EarlyReplica(Recorder recorder, boolean resets) throws IOException {
            super(recorder);
            this.resets = resets;
        }

        @Override
        void answer(HttpMessage head, Socket socket) throws IOException {
            recordRun(head);
            String id = head.header("X-Request-Id");
            recorder.add("replica: runs " + id + ", whose body of " + head.contentLength()
                    + " bytes is not read yet");
            byte[] body = new byte[ANSWER_BYTES];
            Arrays.fill(body, (byte) 'a');
            OutputStream out = socket.getOutputStream();
            out.write(successHead(head, "Connection: close\r\n"));
            out.write(body, 0, resets ? SENT_BYTES : ANSWER_BYTES);
            if (resets) {
                Threads.pause(UNTIL_RESET_MILLIS);
                recorder.add("replica: resets the connection of " + id + " behind " + SENT_BYTES
                        + " of " + ANSWER_BYTES + " bytes of the answer");
                socket.setSoLinger(true, 0);
                return;
            }
            head.readBody(socket.getInputStream());
            recorder.add("replica: has read the body of " + id + ", ends the answer");
            socket.shutdownOutput();
        }
    }

    public static void main(String[] args) {
        Case.exit(args, new EarlyAnswerCase());
    }

    @Override
    public int run(Recorder recorder, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, recorder);
                Replica replica = new EarlyReplica(recorder, trouble)) {
            replica.start(deployment.replicaIp(0), REPLICA_BUFFER_BYTES);
            try (Heartbeats beats =
                    deployment.startWithReplica(ShopConfiguration.withTenant(1), 6)) {
                return judge(recorder, deployment, replica, trouble);
            }
        }
    }

    private static int judge(
            Recorder recorder, Deployment deployment, Replica replica, boolean trouble) {
        int whole = 0;
        int wrong = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String answer = request(deployment, "%016x".formatted(0x5eed0000L + i));
            recorder.add("client: request " + i + ": " + answer);
            whole += answer.startsWith("whole") ? 1 : 0;
            wrong += answer.startsWith("WRONG") ? 1 : 0;
        }
        recorder.add("run " + replica.runs() + ", answered whole " + whole
                + ", with a part that looks complete " + wrong);
        if (replica.runs() < REQUESTS || !trouble && whole < REQUESTS) {
            throw new Deployment.CannotRun("requests did not reach the replica or were not served");
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
