package io.siskintrail.control.internal.configuration;

import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.ConfigurationAnswer;
import io.siskintrail.internal.control.ConfigurationCommand;
import io.siskintrail.internal.control.ConfigurationImage;
import io.siskintrail.internal.control.ConfigurationPublisher;
import io.siskintrail.internal.control.ConfigurationState;
import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.control.PublisherEffect;
import io.siskintrail.internal.control.PublisherInput;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.rules.RulesCheck;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.CurrencyCodec;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerTransport;
import io.siskintrail.wire.control.CommittedListener;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.ControlException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Follows the control log, runs the {@link ConfigurationPublisher} of this replica and takes edits
 * of the rules. Its state lives on the control thread; its methods may be called from any thread.
 */
public final class ConfigurationService implements Service {
    private static final System.Logger LOG = System.getLogger(ConfigurationService.class.getName());
    private static final long TICK_MILLIS = 50;
    private static final long IN_FORCE_TIMEOUT_MILLIS = 8_000;

    private record Waiter(long version, CompletableFuture<Void> inForce) {}

    private final ControlClient client;
    private final PeerTransport transport;
    private final ControlLoop loop;
    private final Supplier<LeaderLease> lease;
    private final List<HostInfo> firstHosts;
    private final ControlStateCodec codec = new ControlStateCodec();
    private final ConfigurationState state = new ConfigurationState();
    private final ConfigurationPublisher publisher = new ConfigurationPublisher();
    private final List<Waiter> waiters = new ArrayList<>();
    private volatile ConfigurationImage image = state.image();
    private volatile Map<HostId, Long> acknowledged = Map.of();
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;
    private long appliedIndex;
    private boolean seeding;

    /**
     * Registers for the questions of hosts; to be made before the transport starts.
     *
     * @param client the control log
     * @param transport reaches the hosts
     * @param loop the control thread, owned by the caller
     * @param lease what the replica beside this service holds now
     * @param firstHosts the routers of a deployment that has no hosts on record yet
     */
    public ConfigurationService(
            ControlClient client,
            PeerTransport transport,
            ControlLoop loop,
            Supplier<LeaderLease> lease,
            List<HostInfo> firstHosts) {
        this.client = client;
        this.transport = transport;
        this.loop = loop;
        this.lease = lease;
        this.firstHosts = List.copyOf(firstHosts);
        transport.handle(MessageKind.CURRENCY, this::receive);
    }

    /** Adds a listener that is called on the control thread with each new configuration. */
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    @Override
    public void start() {
        client.follow(
                new CommittedListener() {
                    @Override
                    public void entry(LogPosition position, long atMillis, byte[] command) {
                        loop.execute(() -> applyEntry(position, atMillis, command));
                    }

                    @Override
                    public void snapshot(LogPosition position, byte[] bytes) {
                        loop.execute(() -> restore(position, bytes));
                    }
                });
        loop.every(TICK_MILLIS, this::tick);
    }

    @Override
    public void stop() {
        stopped = true;
    }

    /** Returns the newest committed configuration that this replica knows, with its history. */
    public ConfigurationImage image() {
        return image;
    }

    /** Returns the version that each host is known to have; empty when this replica follows. */
    public Map<HostId, Long> acknowledged() {
        return acknowledged;
    }

    /** Returns whether the replica in this process leads. */
    public boolean leads() {
        return ControlLoop.nowMillis() < lease.get().untilMillis();
    }

    /**
     * Applies a rules file made from rules {@code from}. A repeat with the same content gets the
     * same outcome.
     */
    public CompletionStage<EditOutcome> edit(long from, String text, String operator) {
        if (RulesParser.parse(text) instanceof RulesCheck.Refused refused) {
            return CompletableFuture.completedFuture(new EditOutcome.Invalid(refused.errors()));
        }
        return propose(new ConfigurationCommand.ApplyRules(from, text, operator))
                .thenCompose(this::awaitForce)
                .exceptionally(ConfigurationService::pending);
    }

    private CompletionStage<EditOutcome> awaitForce(ConfigurationAnswer answer) {
        if (answer instanceof ConfigurationAnswer.RulesApplied applied) {
            return inForce(applied.version())
                    .thenApply(done -> new EditOutcome.Accepted(applied.number()));
        }
        if (answer instanceof ConfigurationAnswer.NumberTaken taken) {
            return CompletableFuture.completedFuture(
                    new EditOutcome.NumberTaken(taken.winner(), taken.currentNumber()));
        }
        if (answer instanceof ConfigurationAnswer.NumberUnknown unknown) {
            return CompletableFuture.completedFuture(
                    new EditOutcome.NumberUnknown(unknown.currentNumber()));
        }
        throw new IllegalStateException("unexpected answer to an edit: " + answer);
    }

    private CompletableFuture<Void> inForce(long version) {
        CompletableFuture<Void> inForce = new CompletableFuture<>();
        loop.execute(
                () -> {
                    waiters.add(new Waiter(version, inForce));
                    releaseWaiters();
                });
        return inForce.orTimeout(IN_FORCE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static EditOutcome pending(Throwable thrown) {
        Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
        if (cause instanceof ControlException e && !e.outcomeUnknown()) {
            return new EditOutcome.Pending(e.failure());
        }
        return new EditOutcome.Pending(
                new Failure(
                        ResultCode.RULES_PENDING,
                        "no majority of the hosts has confirmed the edit yet"));
    }

    /** Proposes a command to the configuration. */
    public CompletionStage<ConfigurationAnswer> propose(ConfigurationCommand command) {
        byte[] bytes = codec.encodeCommand(new ControlCommand.ToConfiguration(command));
        return client.propose(bytes)
                .thenApply(codec::decodeAnswer)
                .thenApply(a -> ((ControlAnswer.FromConfiguration) a).answer());
    }

    private void applyEntry(LogPosition position, long atMillis, byte[] bytes) {
        appliedIndex = position.index();
        if (codec.decodeCommand(bytes) instanceof ControlCommand.ToConfiguration c) {
            state.apply(position, atMillis, c.command());
            publishState();
        }
    }

    private void restore(LogPosition position, byte[] bytes) {
        appliedIndex = position.index();
        state.restore(codec.decodeImage(bytes).configuration());
        publishState();
    }

    private void publishState() {
        image = state.image();
        listeners.forEach(l -> l.accept(image.current()));
        step(new PublisherInput.Committed(image));
        releaseWaiters();
    }

    private void releaseWaiters() {
        waiters.removeIf(w -> w.inForce().isDone());
        for (Waiter waiter : waiters) {
            if (waiter.version() <= image.inForceVersion()) {
                waiter.inForce().complete(null);
            }
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        LeaderLease held = lease.get();
        boolean leads = ControlLoop.nowMillis() < held.untilMillis();
        if (leads && appliedIndex >= held.startIndex()) {
            seed();
            step(new PublisherInput.Leading(held.untilMillis()));
        } else if (!leads) {
            step(new PublisherInput.NotLeading());
        }
        step(new PublisherInput.Tick());
        acknowledged = leads ? publisher.acknowledged() : Map.of();
        waiters.removeIf(w -> w.inForce().isDone());
    }

    private void seed() {
        if (seeding || firstHosts.isEmpty() || !image.current().hosts().isEmpty()) {
            return;
        }
        seeding = true;
        propose(new ConfigurationCommand.SeedHosts(firstHosts))
                .whenComplete((answer, e) -> loop.execute(() -> seeding = false));
    }

    private void receive(HostId from, byte[] body) {
        CurrencyCodec.Received message;
        try {
            message = CurrencyCodec.decode(from, body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "configuration.message.damaged").with("from", from).write();
            return;
        }
        if (message instanceof CurrencyCodec.Received.ForPublisher m) {
            loop.execute(() -> answer(m.input()));
        }
    }

    private void answer(PublisherInput question) {
        LeaderLease held = lease.get();
        if (!stopped && appliedIndex >= held.startIndex()) {
            step(new PublisherInput.Leading(held.untilMillis()));
            step(question);
        }
    }

    private void step(PublisherInput input) {
        if (!stopped) {
            publisher.step(ControlLoop.nowMillis(), input).forEach(this::carryOut);
        }
    }

    private void carryOut(PublisherEffect effect) {
        if (effect instanceof PublisherEffect.Answer e) {
            transport.send(e.to(), MessageKind.CURRENCY, CurrencyCodec.encode(e));
        } else if (effect instanceof PublisherEffect.Push e) {
            transport.send(e.to(), MessageKind.CURRENCY, CurrencyCodec.encode(e));
        } else if (effect instanceof PublisherEffect.ProposeMark e) {
            propose(new ConfigurationCommand.MarkInForce(e.version()));
        }
    }
}
