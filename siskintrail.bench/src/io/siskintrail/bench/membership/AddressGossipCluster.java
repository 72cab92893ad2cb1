package io.siskintrail.bench.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The baseline: every period each node gossips its own address with the list of its endpoints, and
 * every node that sees a new one passes it on to a few others once. A node that was not heard of
 * for some periods counts as gone, and its endpoints with it.
 */
final class AddressGossipCluster implements Cluster {
    private static final long PERIOD_MILLIS = 5_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int SILENT_PERIODS = 3;
    private static final int FANOUT = 3;
    private static final int FIXED_BYTES = 80;
    private static final int ENDPOINT_BYTES = 80;

    private final VirtualNetwork net;
    private final int nodes;
    private final int endpoints;
    private final long[] boots;
    private final List<Map<Integer, Heard>> known = new ArrayList<>();
    private final boolean[] left;
    private final long[] endedAt;
    private long numbers;
    private long lastWorkMillis = -1;

    private record Rumour(int node, long number, List<Integer> endpoints) {}

    private record Heard(Rumour rumour, long atMillis) {}

    AddressGossipCluster(VirtualNetwork net, int nodes, int endpoints) {
        this.net = net;
        this.nodes = nodes;
        this.endpoints = endpoints;
        this.boots = new long[nodes];
        this.left = new boolean[endpoints];
        this.endedAt = new long[endpoints];
        for (int i = 0; i < nodes; i++) {
            known.add(new HashMap<>());
        }
    }

    @Override
    public void start(int node) {
        long boot = ++numbers;
        boots[node] = boot;
        known.set(node, new HashMap<>());
        net.every(
                PERIOD_MILLIS,
                () -> {
                    if (boots[node] == boot) {
                        hear(node, new Rumour(node, ++numbers, own(node)));
                    }
                });
    }

    private List<Integer> own(int node) {
        List<Integer> own = new ArrayList<>();
        for (int e = node; e < endpoints; e += nodes) {
            if (!left[e]) {
                own.add(e);
            }
        }
        return own;
    }

    @Override
    public void stop(int node) {
        boots[node] = 0;
        for (int e = node; e < endpoints; e += nodes) {
            endedAt[e] = net.nowMillis();
        }
    }

    @Override
    public void leave(int node) {
        left[node] = true;
        endedAt[node] = net.nowMillis();
    }

    @Override
    public boolean knowsAll(int node) {
        for (int i = 0; i < nodes; i++) {
            if (boots[i] != 0) {
                Heard heard = fresh(node, i);
                if (heard == null
                        || heard.rumour.number < boots[i]
                        || !heard.rumour.endpoints.containsAll(own(i))) {
                    return false;
                }
            }
        }
        return true;
    }

    @Override
    public boolean knowsEnded(int node) {
        for (int i = 0; i < nodes; i++) {
            Heard heard = fresh(node, i);
            if (heard != null && (boots[i] == 0 || !own(i).containsAll(heard.rumour.endpoints))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void load(int perSecond) {
        for (int i = 0; i < nodes; i++) {
            int node = i;
            net.every(MILLIS_PER_SECOND / perSecond, () -> work(node));
        }
    }

    @Override
    public long lastWorkMillis() {
        return lastWorkMillis;
    }

    private void work(int node) {
        int e = net.random().nextInt(endpoints);
        Heard heard = fresh(node, e % nodes);
        boolean sent = heard != null && heard.rumour.endpoints.contains(e);
        if (sent && endedAt[e] > 0 && (left[e] || boots[e % nodes] == 0)) {
            lastWorkMillis = Math.max(lastWorkMillis, net.nowMillis() - endedAt[e]);
        }
    }

    @Override
    public boolean holdsGone(int node, int other) {
        return fresh(node, other) == null;
    }

    private Heard fresh(int node, int other) {
        Heard heard = known.get(node).get(other);
        long oldest = net.nowMillis() - SILENT_PERIODS * PERIOD_MILLIS;
        return heard == null || heard.atMillis < oldest ? null : heard;
    }

    private void hear(int node, Rumour rumour) {
        Heard old = known.get(node).get(rumour.node);
        if (boots[node] == 0 || (old != null && old.rumour.number >= rumour.number)) {
            return;
        }
        known.get(node).put(rumour.node, new Heard(rumour, net.nowMillis()));
        for (int i = 0; i < FANOUT; i++) {
            int to = net.random().nextInt(nodes);
            int size = FIXED_BYTES + ENDPOINT_BYTES * rumour.endpoints.size();
            net.send(size, () -> hear(to, rumour));
        }
    }
}
