import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two machines of the core, as many as the deployment has to bear, lose their disks right after the
 * first configuration was acknowledged. They are back a second later at their old addresses, with
 * empty disks. The configuration must still be there when it is read back.
 */
final class FirstAckCase implements Case {
    private static final int REGISTRIES = 5;
    private static final int SEEDS = 3;
    private static final long UNTIL_BACK_MILLIS = 1_000;
    private static final long CALL_PAUSE_MILLIS = 100;
    private static final int READ_SECONDS = 60;
    private static final int OK = 200;

    public static void main(String[] args) {
        Case.exit(args, new FirstAckCase());
    }

    @Override
    public int run(Recorder recorder, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(REGISTRIES, recorder)) {
            deployment.startRegistries();
            int acknowledgedBy = putFirst(recorder, deployment);
            if (trouble) {
                loseDisks(recorder, deployment, List.of(acknowledgedBy, (acknowledgedBy + 1) % SEEDS));
            }
            return isReadBack(recorder, deployment) ? HELD : BROKEN;
        }
    }

    /** Sends the first configuration to seed after seed; returns the one that acknowledged it. */
    private static int putFirst(Recorder recorder, Deployment deployment)
            throws InterruptedException {
        String configuration = ShopConfiguration.withTenant(1);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READ_SECONDS / 2);
        for (int i = 0; System.nanoTime() < end; i = (i + 1) % SEEDS) {
            int status =
                    deployment.call(
                            "PUT", deployment.registryIp(i), "/api/config", configuration);
            if (status == OK) {
                recorder.add("operator: version 1 acknowledged by registry-" + i);
                return i;
            }
            Thread.sleep(CALL_PAUSE_MILLIS);
        }
        throw new Deployment.CannotRun("the first configuration was not acknowledged");
    }

    private static void loseDisks(Recorder recorder, Deployment deployment, List<Integer> machines)
            throws IOException, InterruptedException {
        for (int i : machines) {
            deployment.kill("registry-" + i);
        }
        for (int i : machines) {
            deployment.emptyDisk(i);
            recorder.add("the disk of registry-" + i + " is lost");
        }
        Thread.sleep(UNTIL_BACK_MILLIS);
        for (int i : machines) {
            deployment.startRegistry(i, false);
        }
    }

    private static boolean isReadBack(Recorder recorder, Deployment deployment)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READ_SECONDS);
        for (int i = 0; System.nanoTime() < end; i = (i + 1) % REGISTRIES) {
            Deployment.Answer answer = deployment.readConfiguration(i);
            recorder.add("operator: GET at registry-" + i + ": " + answer.status());
            if (answer.status() == OK) {
                return answer.body().equals(ShopConfiguration.withTenant(1));
            }
            Thread.sleep(CALL_PAUSE_MILLIS);
        }
        return false;
    }
}
