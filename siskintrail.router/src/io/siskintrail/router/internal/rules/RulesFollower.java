package io.siskintrail.router.internal.rules;

import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.ConfigurationFollower;
import io.siskintrail.internal.control.FollowerEffect;
import io.siskintrail.internal.control.FollowerInput;
import io.siskintrail.internal.control.FollowerSettings;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.internal.rules.RulesCheck;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.lib.HostId;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.wire.CurrencyCodec;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerTransport;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Runs a {@link ConfigurationFollower} on the control thread of a router. Threads of traffic read
 * the rules and the permission without waiting.
 */
public final class RulesFollower implements Service, RulesView {
    private static final System.Logger LOG = System.getLogger(RulesFollower.class.getName());
    private static final long TICK_MILLIS = 100;

    private final ControlLoop loop;
    private final PeerTransport transport;
    private final ConfigurationFollower follower;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration configuration = Configuration.EMPTY;
    private volatile Rules rules = Rules.EMPTY;
    private volatile long permitUntilMillis = Long.MIN_VALUE;
    private volatile boolean stopped;
    private boolean readable = true;

    /**
     * Registers for the messages about the configuration; to be made before the transport starts.
     *
     * @param settings who follows whom
     * @param transport reaches the control replicas and the other routers
     * @param loop the control thread, owned by the caller
     */
    public RulesFollower(FollowerSettings settings, PeerTransport transport, ControlLoop loop) {
        this.loop = loop;
        this.transport = transport;
        this.follower = new ConfigurationFollower(settings);
        transport.handle(MessageKind.CURRENCY, this::receive);
    }

    /** Adds a listener that is called on the control thread with each new configuration. */
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    @Override
    public void start() {
        loop.execute(this::tick);
        loop.every(TICK_MILLIS, this::tick);
    }

    @Override
    public void stop() {
        stopped = true;
    }

    @Override
    public Rules rules() {
        return rules;
    }

    @Override
    public long number() {
        return configuration.rulesNumber();
    }

    /** Returns the configuration in force on this router. */
    public Configuration configuration() {
        return configuration;
    }

    @Override
    public boolean mayTakeWork() {
        return !stopped && ControlLoop.nowMillis() < permitUntilMillis;
    }

    private void tick() {
        step(new FollowerInput.Tick());
    }

    private void receive(HostId from, byte[] body) {
        CurrencyCodec.Received message;
        try {
            message = CurrencyCodec.decode(from, body);
        } catch (IllegalArgumentException e) {
            LogEvent.warning(LOG, "rules.message.damaged").with("from", from).write();
            return;
        }
        if (message instanceof CurrencyCodec.Received.ForFollower m) {
            loop.execute(() -> step(m.input()));
        }
    }

    private void step(FollowerInput input) {
        if (stopped) {
            return;
        }
        follower.step(ControlLoop.nowMillis(), input).forEach(this::carryOut);
    }

    private void carryOut(FollowerEffect effect) {
        if (effect instanceof FollowerEffect.Apply e) {
            apply(e.configuration());
        } else if (effect instanceof FollowerEffect.Permit e) {
            permitUntilMillis = readable ? e.untilMillis() : Long.MIN_VALUE;
        } else if (effect instanceof FollowerEffect.AskControl e) {
            transport.send(e.to(), MessageKind.CURRENCY, CurrencyCodec.encode(e));
        } else if (effect instanceof FollowerEffect.AskPeer e) {
            transport.send(e.to(), MessageKind.CURRENCY, CurrencyCodec.encode(e));
        } else if (effect instanceof FollowerEffect.AnswerPeer e) {
            transport.send(e.to(), MessageKind.CURRENCY, CurrencyCodec.encode(e));
        }
    }

    private void apply(Configuration next) {
        if (RulesParser.parse(next.rulesText()) instanceof RulesCheck.Accepted accepted) {
            readable = true;
            rules = accepted.rules();
        } else {
            // Another release checked this text. Working on under older rules would revert it.
            readable = false;
            permitUntilMillis = Long.MIN_VALUE;
        }
        configuration = next;
        LogEvent.info(LOG, "rules.applied")
                .with("number", next.rulesNumber())
                .with("version", next.version())
                .with("readable", readable)
                .write();
        listeners.forEach(l -> l.accept(next));
    }
}
