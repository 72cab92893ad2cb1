package io.siskintrail.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Clients of a soak run, each with a thread of its own. Used by one thread. */
final class SoakClients {
    private final SoakSystem system;
    private final SoakRecorder recorder;
    private final List<Client> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    /** Sends requests until it is stopped. */
    interface Client extends Runnable {
        /** Ends the client after the request that it waits for; any thread may call it. */
        void stop();
    }

    SoakClients(SoakSystem system, SoakRecorder recorder) {
        this.system = system;
        this.recorder = recorder;
    }

    /** Starts clients that send to the edges through the front proxies. */
    void startPlain(int count, long seed) {
        for (int i = 0; i < count; i++) {
            start(new SoakClient(i, system.frontProxies(), recorder, seed + i));
        }
    }

    /** Starts a client of each habit that keeps its connections at each edge. */
    void startKept(SplittableRandom random) {
        List<SoakKeptClient> kept = new ArrayList<>();
        for (SoakKeptClient.Habit habit : SoakKeptClient.Habit.values()) {
            for (int i = 0; i < system.edges().size(); i++) {
                kept.add(
                        new SoakKeptClient(
                                habit, i, system.frontAddress(i), recorder, random.nextLong()));
            }
        }
        kept.forEach(this::start);
    }

    /** Starts a client of each habit at each edge that knows endpoints that answer twice. */
    void startTwice(SplittableRandom random) {
        for (SoakTwiceClient.Habit habit : SoakTwiceClient.Habit.values()) {
            for (int i = 0; i < system.edges().size(); i++) {
                start(new SoakTwiceClient(habit, i, system, recorder, random.nextLong()));
            }
        }
    }

    /** Makes all clients end; {@link #awaitEnd} waits for it. */
    void stop() {
        clients.forEach(Client::stop);
    }

    void awaitEnd() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void start(Client client) {
        clients.add(client);
        Thread thread = new Thread(client, "soak-client");
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }
}
