package io.siskintrail.bench.promises;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Picks a router that said ready when it was asked last, as the platform's balancer does. */
final class Balancer {
    private final List<String> all;
    private final CopyOnWriteArrayList<String> ready = new CopyOnWriteArrayList<>();

    Balancer(List<String> addresses) {
        all = List.copyOf(addresses);
    }

    List<String> all() {
        return all;
    }

    int readyCount() {
        return ready.size();
    }

    void set(String address, boolean isReady) {
        if (isReady) {
            ready.addIfAbsent(address);
        } else {
            ready.remove(address);
        }
    }

    String pick() {
        Object[] now = ready.toArray();
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return now.length == 0
                ? all.get(random.nextInt(all.size()))
                : (String) now[random.nextInt(now.length)];
    }
}
