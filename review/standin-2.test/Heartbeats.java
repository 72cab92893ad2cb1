import java.util.ArrayList;
import java.util.List;

/** Heartbeats of sound replicas, to registry after registry until one acknowledges each. */
final class Heartbeats implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 1_200;

    private final Deployment deployment;
    private final int registries;
    private final List<Beat> beats = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "heartbeats");
    private volatile boolean stopped;
    private long sequence;

    private record Beat(
            String id, String service, String address, String zone, int slots, long born) {}

    Heartbeats(Deployment deployment, int registries) {
        this.deployment = deployment;
        this.registries = registries;
        thread.setDaemon(true);
    }

    /** Adds a replica that starts now; to be called before the start. */
    void add(String id, String service, String address, String zone, int slots) {
        beats.add(new Beat(id, service, address, zone, slots, System.currentTimeMillis()));
    }

    void start() {
        thread.start();
    }

    private void run() {
        while (!stopped) {
            sequence++;
            for (Beat b : beats) {
                send(b);
            }
            try {
                Thread.sleep(INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void send(Beat b) {
        String body =
                """
                {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}"""
                        .formatted(b.service, b.address, b.zone, b.slots, sequence, b.born);
        for (int i = 0; i < registries && !stopped; i++) {
            String ip = deployment.registryIp((int) ((sequence + i) % registries));
            if (deployment.call("PUT", ip, "/api/replicas/" + b.id, body) == 200) {
                return;
            }
        }
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
