import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/**
 * A new version of the configuration takes the last tenant away, so that its list of tenants is
 * empty. From then on no key is known, and each request with a key gets 401.
 */
final class LastTenantCase implements Case {
    /** More than the bound {@code configApplyMs}, which is 2,000 ms. */
    private static final long APPLY_MILLIS = 3_000;

    private static final int REQUESTS = 10;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final String NEVER_HELD = "n0b0dysk3y";

    private int sent;

    public static void main(String[] args) {
        Case.exit(args, new LastTenantCase());
    }

    @Override
    public int run(Recorder recorder, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, recorder);
                Replica replica = new Replica(recorder)) {
            replica.start(deployment.replicaIp(0), 0);
            try (Heartbeats beats =
                            deployment.startWithReplicas(ShopConfiguration.withTenant(1), 1);
                    Socket kept = new Socket(deployment.edgeIp(0), deployment.frontPort())) {
                kept.setSoTimeout(2 * DEADLINE_MILLIS);
                return judge(recorder, deployment, replica, kept, trouble);
            }
        }
    }

    private int judge(
            Recorder recorder,
            Deployment deployment,
            Replica replica,
            Socket kept,
            boolean trouble)
            throws IOException, InterruptedException {
        boolean held = send(recorder, replica, kept, ShopConfiguration.KEY) == OK;
        boolean unknown = send(recorder, replica, kept, NEVER_HELD) == UNAUTHORIZED;
        if (!held || !unknown) {
            throw new Deployment.CannotRun("keys are not told apart before the change");
        }
        if (trouble) {
            deployment.putConfiguration(ShopConfiguration.with(2, ""));
        }
        Thread.sleep(APPLY_MILLIS);
        int dropped = 0;
        int neverHeld = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int status = send(recorder, replica, kept, ShopConfiguration.KEY);
            dropped += trouble && status == OK ? 1 : 0;
            neverHeld += send(recorder, replica, kept, NEVER_HELD) == OK ? 1 : 0;
        }
        recorder.add("of " + REQUESTS + " each, run with the dropped key: " + dropped
                + ", run with a key that no configuration ever held: " + neverHeld);
        return neverHeld > 0 ? BROKEN : HELD;
    }

    private int send(Recorder recorder, Replica replica, Socket kept, String key)
            throws IOException {
        String id = "%016x".formatted(0x5eed0000L + sent++);
        kept.getOutputStream()
                .write(
                        ShopConfiguration.requestHead(
                                ShopConfiguration.ORDERS, id, key, DEADLINE_MILLIS, 0));
        InputStream in = kept.getInputStream();
        HttpMessage head = HttpMessage.readHead(in);
        if (head == null) {
            throw new IOException("the edge closed the connection");
        }
        head.readBody(in);
        String run = replica.hasRun(id) ? "run for tenant " + replica.tenantOf(id) : "not run";
        recorder.add("client: " + id + " with key " + key + ": " + head.status() + ", " + run);
        return head.status();
    }
}
