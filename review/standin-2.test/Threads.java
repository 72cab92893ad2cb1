/** Threads and pauses of the stand-ins. */
final class Threads {
    private Threads() {}

    /** Starts a thread that does not keep the process alive. */
    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
