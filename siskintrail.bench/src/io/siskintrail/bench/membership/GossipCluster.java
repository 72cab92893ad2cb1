package io.siskintrail.bench.membership;

import io.siskintrail.internal.membership.HostEntry;
import io.siskintrail.internal.membership.HostState;
import io.siskintrail.internal.membership.Membership;
import io.siskintrail.internal.membership.MembershipEffect;
import io.siskintrail.internal.membership.MembershipInput;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.wire.MembershipCodec;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.ThriftCodec;
import io.siskintrail.wire.gen.Envelope;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The memberships of many routers, with the sizes of their messages on the wire. */
public final class GossipCluster implements Cluster {
    private static final long RENEW_MILLIS = 500;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MODELS = 22;
    private static final int TAG_BYTES = 32;
    private static final int FRAME_BYTES = 4;
    private static final int DOMAINS = 5;

    private final VirtualNetwork net;
    private final int nodes;
    private final int endpoints;
    private final Membership[] members;
    private final long[] boots;
    private final Set<HostId> hosts = new HashSet<>();
    private final Map<EndpointId, EndpointInfo> running = new HashMap<>();
    private final long[] stamps;
    private final Map<EndpointId, Long> endedAt = new HashMap<>();
    private long bootNumbers = 1;
    private long requests;
    private long lastWorkMillis = -1;

    /** Prepares a cluster in which nothing runs yet. */
    public GossipCluster(VirtualNetwork net, int nodes, int endpoints) {
        this.net = net;
        this.nodes = nodes;
        this.endpoints = endpoints;
        this.members = new Membership[nodes];
        this.boots = new long[nodes];
        this.stamps = new long[endpoints];
        for (int i = 0; i < nodes; i++) {
            hosts.add(host(i));
        }
    }

    @Override
    public void start(int node) {
        long boot = ++bootNumbers;
        boots[node] = boot;
        members[node] = new Membership(host(node), boot, net.random().nextLong());
        step(node, boot, new MembershipInput.HostsChanged(hosts));
        net.every(Membership.TICK_MILLIS, () -> step(node, boot, new MembershipInput.Tick()));
        for (int e = node; e < endpoints; e += nodes) {
            startEndpoint(node, boot, e);
        }
    }

    private void startEndpoint(int node, long boot, int e) {
        running.put(endpoint(e), info(e, boot, false));
        stamps[e] = MembershipInput.Announced.NO_STAMP;
        net.every(RENEW_MILLIS, () -> renew(node, boot, e));
    }

    private void renew(int node, long boot, int e) {
        if (boots[node] != boot) {
            return;
        }
        boolean leaving = !running.containsKey(endpoint(e));
        step(node, boot, new MembershipInput.Announced(info(e, boot, leaving), stamps[e]));
        stamps[e] = net.nowMillis();
    }

    @Override
    public void stop(int node) {
        boots[node] = 0;
        members[node] = null;
        for (int e = node; e < endpoints; e += nodes) {
            end(e);
        }
    }

    private void end(int e) {
        running.remove(endpoint(e));
        endedAt.put(endpoint(e), net.nowMillis());
    }

    @Override
    public void leave(int node) {
        end(node);
        renew(node, boots[node], node);
    }

    @Override
    public boolean knowsAll(int node) {
        Set<EndpointInfo> known = new HashSet<>(members[node].aliveEndpoints());
        Set<HostId> alive = new HashSet<>();
        for (HostEntry h : members[node].hosts()) {
            if (h.state() == HostState.ALIVE) {
                alive.add(h.id());
            }
        }
        for (int i = 0; i < nodes; i++) {
            if (boots[i] != 0 && !alive.contains(host(i))) {
                return false;
            }
        }
        return known.containsAll(running.values());
    }

    @Override
    public boolean knowsEnded(int node) {
        for (EndpointInfo e : members[node].aliveEndpoints()) {
            if (!running.containsKey(e.id())) {
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
        if (boots[node] != 0) {
            EndpointId id = endpoint(net.random().nextInt(endpoints));
            step(node, boots[node], new MembershipInput.Confirm(++requests, id));
        }
    }

    private void confirmed(MembershipEffect.Confirmed c) {
        Long ended = endedAt.get(c.endpoint());
        if (c.usable() && ended != null && !running.containsKey(c.endpoint())) {
            lastWorkMillis = Math.max(lastWorkMillis, net.nowMillis() - ended);
        }
    }

    @Override
    public boolean holdsGone(int node, int other) {
        for (HostEntry h : members[node].hosts()) {
            if (h.id().equals(host(other))) {
                return h.state() == HostState.DEAD;
            }
        }
        return true;
    }

    private void step(int node, long boot, MembershipInput input) {
        if (boot == 0) {
            return;
        }
        if (boots[node] != boot) {
            return;
        }
        List<MembershipEffect> effects =
                new ArrayList<>(members[node].step(net.nowMillis(), input));
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.Send s) {
                send(node, s);
            } else if (effect instanceof MembershipEffect.Check c) {
                check(node, boot, c);
            } else if (effect instanceof MembershipEffect.Confirmed c) {
                confirmed(c);
            }
        }
    }

    private void send(int from, MembershipEffect.Send s) {
        int to = Integer.parseInt(s.to().value().substring(1));
        long boot = boots[to];
        byte[] body = MembershipCodec.encode(s.message());
        net.send(wireBytes(from, body), () -> deliver(from, to, boot, body));
    }

    private void deliver(int from, int to, long boot, byte[] body) {
        step(to, boot, new MembershipInput.Received(host(from), MembershipCodec.decode(body)));
    }

    private void check(int node, long boot, MembershipEffect.Check c) {
        EndpointInfo now = running.get(c.info().id());
        if (now != null) {
            net.after(
                    1,
                    () ->
                            step(
                                    node,
                                    boot,
                                    new MembershipInput.Checked(
                                            c.check(), now.incarnation(), false)));
        }
    }

    private static int wireBytes(int from, byte[] body) {
        Envelope envelope =
                new Envelope(
                        host(from).value(),
                        MessageKind.MEMBERSHIP.number(),
                        ByteBuffer.wrap(body),
                        ByteBuffer.wrap(new byte[TAG_BYTES]));
        return ThriftCodec.encode(envelope).length + FRAME_BYTES;
    }

    private static EndpointInfo info(int e, long boot, boolean leaving) {
        return new EndpointInfo(
                endpoint(e),
                "10.1.%d.%d:8000".formatted(e / 250, e % 250),
                EndpointKind.ENGINE,
                new FailureDomain("domain-" + e % DOMAINS),
                List.of(new ModelId("model-" + e % MODELS, "", "2026-11")),
                List.of(),
                16,
                true,
                boot,
                leaving);
    }

    private static EndpointId endpoint(int e) {
        return new EndpointId("engine-" + e);
    }

    private static HostId host(int node) {
        return new HostId("h" + node);
    }
}
