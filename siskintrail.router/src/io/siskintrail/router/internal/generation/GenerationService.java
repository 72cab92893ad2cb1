package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.BuddyMessage;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.GenerationInput;
import io.siskintrail.internal.generation.GenerationMachine;
import io.siskintrail.internal.generation.GenerationSettings;
import io.siskintrail.internal.generation.GenerationSpec;
import io.siskintrail.internal.generation.RequestRef;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.Result;
import io.siskintrail.router.internal.endpoint.EngineClient;
import io.siskintrail.router.internal.filter.CompletionCall;
import io.siskintrail.router.internal.filter.RequestContext;
import io.siskintrail.router.internal.stream.AnswerStream;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.BuddyCodec;
import io.siskintrail.wire.BuddyPacket;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerTransport;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs the generations of this router, spread over stripes by a hash of the request, so that all
 * that happens to one request happens on one thread.
 */
public final class GenerationService implements Service {
    private static final System.Logger LOG = System.getLogger(GenerationService.class.getName());
    private static final long DRAIN_MARGIN_MILLIS = 2_000;

    private final PeerTransport transport;
    private final long incarnation;
    private final List<GenerationStripe> stripes = new ArrayList<>();
    private final GenerationStats stats = new GenerationStats();
    private final QuarantineShell quarantine;
    private final HostId self;
    private volatile List<HostInfo> routers = List.of();
    private final AtomicLong nextCaller = new AtomicLong();

    /**
     * Prepares the service; to be made before the transport starts.
     *
     * @param settings the bounds of the request path
     * @param stripeCount the number of stripes, each with a thread
     * @param self this router
     * @param incarnation larger at every start of this host
     * @param transport carries copies and relayed answers
     * @param slots hands out places at engines
     * @param engines streams the output of engines
     */
    public GenerationService(
            GenerationSettings settings,
            int stripeCount,
            HostInfo self,
            long incarnation,
            PeerTransport transport,
            SlotSource slots,
            EngineClient engines) {
        this.transport = transport;
        this.incarnation = incarnation;
        this.self = self.id();
        this.quarantine = new QuarantineShell(this::sendToAll, this::refuse, slots::address);
        for (int i = 0; i < stripeCount; i++) {
            GenerationMachine machine = new GenerationMachine(settings, self, incarnation, i);
            stripes.add(
                    new GenerationStripe(
                            i, machine, slots, engines, this::send, stats, this::endpointLost));
        }
        transport.handle(MessageKind.BUDDY, this::receive);
    }

    @Override
    public void start() {
        stripes.forEach(GenerationStripe::start);
        quarantine.start();
    }

    @Override
    public void stop() {
        quarantine.stop();
        stripes.forEach(GenerationStripe::stop);
    }

    /** Returns the counters of this router. */
    public GenerationStats stats() {
        return stats;
    }

    /** Replaces the routers of the deployment; this one may be among them. */
    public void setRouters(List<HostInfo> hosts) {
        routers = List.copyOf(hosts);
        postAll(new GenerationInput.Routers(routers));
    }

    /** Says that membership found a router dead. */
    public void routerDown(HostId host) {
        postAll(new GenerationInput.RouterDown(host));
    }

    /** Says that an endpoint is dead or silent; attempts that wait there are moved. */
    public void endpointGone(EndpointId endpoint) {
        postAll(new GenerationInput.EndpointSilent(endpoint));
    }

    private void refuse(Fingerprint fingerprint, boolean on) {
        postAll(new GenerationInput.Quarantined(fingerprint, on));
    }

    /**
     * Takes no new generation and waits until the running ones are finished or moved to their
     * buddies.
     *
     * @param millis after which unfinished generations are moved
     */
    public void drain(long millis) {
        long deadline = ControlLoop.nowMillis() + millis;
        postAll(new GenerationInput.Drain(deadline));
        try {
            for (GenerationStripe stripe : stripes) {
                long left = deadline + DRAIN_MARGIN_MILLIS - ControlLoop.nowMillis();
                if (!stripe.awaitDrained(Math.max(1, left))) {
                    LogEvent.warning(LOG, "generations.not.drained").write();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers {@code request}, whose model is pinned: starts it, or joins what runs already. */
    public CompletionStage<Result<AnswerStream>> answer(RequestContext request) {
        boolean keyed = request.key() != null;
        RequestKey key = keyed ? request.key() : new RequestKey(UUID.randomUUID().toString());
        GenerationSpec spec = spec(request, new RequestRef(request.account(), key));
        GenerationStripe stripe = stripeOf(spec.ref());
        long caller = nextCaller.incrementAndGet();
        CallerSink sink = new CallerSink("cmpl-" + key, () -> stripe.detach(caller));
        stripe.attach(new GenerationInput.Attach(caller, spec, request.after(), keyed), sink);
        return sink.begun();
    }

    private static GenerationSpec spec(RequestContext request, RequestRef ref) {
        CompletionCall call = request.call();
        Long seed = call.seed();
        String content =
                "%s\n%d\n%s\n%b\n%s"
                        .formatted(
                                call.model(), call.maxTokens(), seed, call.chat(), call.prompt());
        return new GenerationSpec(
                new GenerationId(UUID.randomUUID().toString()),
                ref,
                request.model(),
                request.rank(),
                seed == null ? ThreadLocalRandom.current().nextLong() : seed,
                Fingerprint.of(request.account(), content),
                call.promptTokens(),
                SpecBody.of(call).toJson());
    }

    private GenerationStripe stripeOf(RequestRef ref) {
        return stripes.get(Math.floorMod(ref.hashCode(), stripes.size()));
    }

    private void postAll(GenerationInput input) {
        stripes.forEach(stripe -> stripe.post(input));
    }

    private void endpointLost(GenerationEffect.EndpointLost e) {
        quarantine.endpointLost(e);
        if (e.silent()) {
            postAll(new GenerationInput.EndpointSilent(e.endpoint()));
        }
    }

    private void sendToAll(BuddyMessage message) {
        for (HostInfo host : routers) {
            if (!host.id().equals(self)) {
                send(host.id(), message);
            }
        }
    }

    private void send(HostId to, BuddyMessage message) {
        transport.send(to, MessageKind.BUDDY, BuddyCodec.encode(incarnation, message));
    }

    private void receive(HostId sender, byte[] body) {
        BuddyPacket packet;
        try {
            packet = BuddyCodec.decode(body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "buddy.message.refused").with("sender", sender).write();
            return;
        }
        if (packet.message() instanceof BuddyMessage.OfRouter m) {
            quarantine.receive(sender, m);
            if (m instanceof BuddyMessage.DeathReport report) {
                endpointGone(report.endpoint());
            }
            return;
        }
        GenerationInput input =
                new GenerationInput.Message(sender, packet.incarnation(), packet.message());
        if (packet.message() instanceof BuddyMessage.OfRequest m) {
            stripeOf(m.ref()).post(input);
        } else if (packet.message() instanceof BuddyMessage.OfStripe m) {
            stripes.get(Math.floorMod(m.stripe(), stripes.size())).post(input);
        }
    }
}
