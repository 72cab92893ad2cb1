package io.siskintrail.router.internal.membership;

import io.siskintrail.internal.membership.HostEntry;
import io.siskintrail.internal.membership.HostState;
import io.siskintrail.internal.membership.Membership;
import io.siskintrail.internal.membership.MembershipEffect;
import io.siskintrail.internal.membership.MembershipInput;
import io.siskintrail.internal.membership.MembershipMessage;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.MembershipCodec;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerTransport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * Runs the {@link Membership} of this router on the control thread and publishes the usable
 * endpoints to the {@link EndpointDirectory} that traffic reads.
 */
public final class MembershipService implements Service {
    private static final System.Logger LOG = System.getLogger(MembershipService.class.getName());

    private final PeerTransport transport;
    private final ControlLoop loop;
    private final EndpointDirectory directory;
    private volatile Set<HostId> hosts;
    private final long boot;
    private final Membership membership;
    private final EndpointStatusClient statuses = new EndpointStatusClient();
    private final Map<Long, CompletableFuture<Boolean>> confirmations = new HashMap<>();
    private final List<Consumer<HostId>> deathListeners = new ArrayList<>();
    private long requests;
    private volatile boolean stopped;

    /**
     * Prepares the service; to be made before the transport starts.
     *
     * @param self this host
     * @param boot larger at every start of this host
     * @param seed seed of the random choices of peers
     * @param hosts all hosts that run a router
     * @param transport carries the gossip
     * @param loop the control thread
     * @param directory receives the usable endpoints
     */
    public MembershipService(
            HostId self,
            long boot,
            long seed,
            Set<HostId> hosts,
            PeerTransport transport,
            ControlLoop loop,
            EndpointDirectory directory) {
        this.boot = boot;
        this.hosts = Set.copyOf(hosts);
        this.transport = transport;
        this.loop = loop;
        this.directory = directory;
        this.membership = new Membership(self, boot, seed);
        transport.handle(MessageKind.MEMBERSHIP, this::receive);
    }

    /** Registers {@code listener} for hosts found dead; to be called before {@link #start()}. */
    public void onDeath(Consumer<HostId> listener) {
        deathListeners.add(listener);
    }

    @Override
    public void start() {
        setHosts(hosts);
        loop.every(Membership.TICK_MILLIS, this::tick);
    }

    /** Replaces the hosts that run a router. */
    public void setHosts(Set<HostId> all) {
        hosts = Set.copyOf(all);
        loop.execute(() -> step(new MembershipInput.HostsChanged(hosts)));
    }

    @Override
    public void stop() {
        stopped = true;
        statuses.close();
    }

    /**
     * Takes an announcement.
     *
     * @param info what the endpoint said
     * @param stamp the stamp that it echoes; empty or null for none
     * @return the stamp that it is to echo next
     */
    public CompletionStage<String> announce(EndpointInfo info, String stamp) {
        return loop.submit(
                () -> {
                    long now = ControlLoop.nowMillis();
                    step(new MembershipInput.Announced(info, Stamps.read(stamp, boot, now)));
                    publish();
                    return Stamps.write(boot, now);
                });
    }

    /** Finds out whether new work may go to an endpoint, by asking where that is not known. */
    public CompletionStage<Boolean> confirm(EndpointId endpoint) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        loop.execute(
                () -> {
                    long request = ++requests;
                    confirmations.put(request, answer);
                    step(new MembershipInput.Confirm(request, endpoint));
                });
        return answer;
    }

    /** Returns the hosts that are not known to be dead, on the control thread only. */
    public Set<HostId> liveHosts() {
        Set<HostId> live = new TreeSet<>();
        for (HostEntry h : membership.hosts()) {
            if (h.state() != HostState.DEAD && hosts.contains(h.id())) {
                live.add(h.id());
            }
        }
        return live;
    }

    private void receive(HostId sender, byte[] body) {
        MembershipMessage message;
        try {
            message = MembershipCodec.decode(body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "membership.message.refused").with("sender", sender).write();
            return;
        }
        loop.execute(() -> step(new MembershipInput.Received(sender, message)));
    }

    private void tick() {
        step(new MembershipInput.Tick());
        publish();
    }

    private void publish() {
        directory.publish(membership.usable(ControlLoop.nowMillis()));
    }

    private void step(MembershipInput input) {
        if (stopped) {
            return;
        }
        for (MembershipEffect effect : membership.step(ControlLoop.nowMillis(), input)) {
            carryOut(effect);
        }
    }

    private void carryOut(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.Send s) {
            transport.send(s.to(), MessageKind.MEMBERSHIP, MembershipCodec.encode(s.message()));
        } else if (effect instanceof MembershipEffect.Check c) {
            statuses.ask(
                    c.info().address(),
                    status ->
                            loop.execute(
                                    () ->
                                            step(
                                                    new MembershipInput.Checked(
                                                            c.check(),
                                                            status.incarnation(),
                                                            status.leaving()))));
        } else if (effect instanceof MembershipEffect.Confirmed c) {
            confirmations.remove(c.request()).complete(c.usable());
        } else if (effect instanceof MembershipEffect.HostChanged h) {
            hostChanged(h);
        }
    }

    private void hostChanged(MembershipEffect.HostChanged h) {
        LogEvent.info(LOG, "host.changed").with("host", h.host()).with("state", h.state()).write();
        if (h.state() == HostState.DEAD) {
            deathListeners.forEach(l -> l.accept(h.host()));
        }
    }
}
