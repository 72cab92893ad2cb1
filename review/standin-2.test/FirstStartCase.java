import java.util.concurrent.TimeUnit;

/**
 * A process of the core is killed while the system starts for the first time, and is back shortly
 * after with the settings in effect, in which {@code bootstrap} is false. The core is to begin to
 * work all the same, and to acknowledge the first configuration.
 */
final class FirstStartCase implements Case {
    private static final int REGISTRIES = 5;
    private static final long UNTIL_KILL_MILLIS = 300;
    private static final long UNTIL_RESTART_MILLIS = 500;
    private static final long CALL_PAUSE_MILLIS = 500;
    private static final int WAIT_SECONDS = 60;
    private static final int OK = 200;

    public static void main(String[] args) {
        Case.exit(args, new FirstStartCase());
    }

    @Override
    public int run(Recorder recorder, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(REGISTRIES, recorder)) {
            deployment.startRegistries();
            Thread.sleep(UNTIL_KILL_MILLIS);
            if (trouble) {
                deployment.kill("registry-0");
                Thread.sleep(UNTIL_RESTART_MILLIS);
                deployment.startRegistry(0, false);
            }
            return isAcknowledged(recorder, deployment) ? HELD : BROKEN;
        }
    }

    private static boolean isAcknowledged(Recorder recorder, Deployment deployment)
            throws InterruptedException {
        String configuration = ShopConfiguration.withTenant(1);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        for (int i = 0; System.nanoTime() < end; i = (i + 1) % REGISTRIES) {
            int status =
                    deployment.call(
                            "PUT", deployment.registryIp(i), "/api/config", configuration);
            recorder.add("operator: configuration at registry-" + i + ": " + status);
            if (status == OK) {
                return true;
            }
            Thread.sleep(CALL_PAUSE_MILLIS);
        }
        return false;
    }
}
