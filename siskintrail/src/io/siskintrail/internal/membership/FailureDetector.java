package io.siskintrail.internal.membership;

import io.siskintrail.lib.HostId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Decides which hosts to ping and when one is suspect or dead, after SWIM: one host each period in
 * shuffled turn, then by way of others, then a time to refute.
 */
final class FailureDetector {
    static final long PERIOD_MILLIS = 1_000;
    private static final long DIRECT_MILLIS = 300;
    private static final long SUSPECT_MILLIS = 4_000;
    private static final int HELPERS = 3;
    private static final int DEAD_EVERY = 4;
    private static final int MAX_RELAYS = 256;

    /** What the detector needs of the membership around it. */
    interface Context {
        /** Returns the state held of a host. */
        HostState stateOf(HostId host);

        /** Sends a ping. */
        void ping(HostId to, long number);

        /** Asks {@code helper} to ping {@code target}. */
        void requestPing(HostId helper, HostId target, long number);

        /** Takes over that a host is suspect or dead. */
        void judge(HostId host, HostState state);
    }

    private record Probe(HostId target, long sentMillis, boolean counts) {}

    private record Relay(HostId origin, long number) {}

    private final Context context;
    private final Random random;
    private final List<HostId> turn = new ArrayList<>();
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final Map<HostId, Long> suspectSince = new HashMap<>();
    private List<HostId> others = List.of();
    private long numbers;
    private long nextProbeMillis = Long.MIN_VALUE;
    private long current = -1;
    private boolean helped;
    private int periods;

    FailureDetector(Context context, Random random) {
        this.context = context;
        this.random = random;
    }

    void setOthers(List<HostId> hosts) {
        others = List.copyOf(hosts);
        turn.retainAll(others);
        suspectSince.keySet().retainAll(others);
    }

    /** Notes the state that gossip or this detector found. */
    void stateChanged(HostId host, HostState state, long nowMillis) {
        if (state == HostState.SUSPECT) {
            suspectSince.putIfAbsent(host, nowMillis);
        } else {
            suspectSince.remove(host);
        }
        if (state == HostState.ALIVE && others.contains(host) && !turn.contains(host)) {
            turn.add(random.nextInt(turn.size() + 1), host);
        }
    }

    void tick(long nowMillis) {
        if (nextProbeMillis == Long.MIN_VALUE) {
            nextProbeMillis = nowMillis + random.nextInt((int) PERIOD_MILLIS);
        }
        askHelpers(nowMillis);
        if (nowMillis >= nextProbeMillis) {
            endPeriod();
            startPeriod(nowMillis);
        }
        buryDead(nowMillis);
    }

    /**
     * Notes an answer.
     *
     * @return the relay that waits for it, handed to {@code onRelay} with its number
     */
    void answered(long number, Consumer<Map.Entry<HostId, Long>> onRelay) {
        probes.remove(number);
        Relay relay = relays.remove(number);
        if (relay != null) {
            onRelay.accept(Map.entry(relay.origin, relay.number));
        }
    }

    /** Pings {@code target} for {@code origin}. */
    void relay(HostId origin, long number, HostId target) {
        if (!others.contains(target) || relays.size() >= MAX_RELAYS) {
            return;
        }
        long own = ++numbers;
        relays.put(own, new Relay(origin, number));
        context.ping(target, own);
    }

    private void askHelpers(long nowMillis) {
        Probe probe = probes.get(current);
        if (probe == null || helped || nowMillis - probe.sentMillis < DIRECT_MILLIS) {
            return;
        }
        helped = true;
        for (int i = 0; i < HELPERS; i++) {
            HostId helper = randomOther();
            if (helper != null && !helper.equals(probe.target)) {
                context.requestPing(helper, probe.target, current);
            }
        }
    }

    private void endPeriod() {
        Probe probe = probes.remove(current);
        if (probe != null && probe.counts) {
            context.judge(probe.target, HostState.SUSPECT);
        }
        relays.clear();
    }

    private void startPeriod(long nowMillis) {
        nextProbeMillis = nowMillis + PERIOD_MILLIS;
        helped = false;
        probes.clear();
        HostId next = nextInTurn();
        if (next != null) {
            current = ++numbers;
            probes.put(current, new Probe(next, nowMillis, true));
            context.ping(next, current);
        }
        if (++periods % DEAD_EVERY == 0) {
            pingSomeDead();
        }
    }

    private void pingSomeDead() {
        List<HostId> dead =
                others.stream().filter(h -> context.stateOf(h) == HostState.DEAD).toList();
        if (!dead.isEmpty()) {
            context.ping(dead.get(random.nextInt(dead.size())), ++numbers);
        }
    }

    private HostId nextInTurn() {
        turn.removeIf(h -> context.stateOf(h) == HostState.DEAD);
        if (turn.isEmpty()) {
            turn.addAll(others);
            turn.removeIf(h -> context.stateOf(h) == HostState.DEAD);
            Collections.shuffle(turn, random);
        }
        return turn.isEmpty() ? null : turn.remove(turn.size() - 1);
    }

    private HostId randomOther() {
        return others.isEmpty() ? null : others.get(random.nextInt(others.size()));
    }

    private void buryDead(long nowMillis) {
        List<HostId> late = new ArrayList<>();
        suspectSince.forEach(
                (host, since) -> {
                    if (nowMillis - since >= SUSPECT_MILLIS) {
                        late.add(host);
                    }
                });
        late.sort(HostId::compareTo);
        late.forEach(host -> context.judge(host, HostState.DEAD));
    }
}
