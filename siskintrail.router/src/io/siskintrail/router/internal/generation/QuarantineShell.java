package io.siskintrail.router.internal.generation;

import io.siskintrail.internal.generation.BuddyMessage;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.GenerationEffect;
import io.siskintrail.internal.generation.Quarantine;
import io.siskintrail.internal.generation.QuarantineEffect;
import io.siskintrail.internal.generation.QuarantineInput;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Runs the {@link Quarantine} of a router on a thread of its own. Lost streams count as the death
 * of their endpoint only when it takes no connection any more or when all of its streams fell
 * silent.
 */
final class QuarantineShell implements Service {
    private static final System.Logger LOG = System.getLogger(QuarantineShell.class.getName());
    private static final long TICK_MILLIS = 100;
    private static final long CHECK_DELAY_MILLIS = 50;
    private static final int CONNECT_MILLIS = 300;

    private final Quarantine quarantine = new Quarantine();
    private final ControlLoop loop = new ControlLoop("quarantine");
    private final Consumer<BuddyMessage> broadcast;
    private final BiConsumer<Fingerprint, Boolean> refuse;
    private final Function<EndpointId, String> addresses;
    private final Map<EndpointId, Set<Fingerprint>> unchecked = new HashMap<>();

    QuarantineShell(
            Consumer<BuddyMessage> broadcast,
            BiConsumer<Fingerprint, Boolean> refuse,
            Function<EndpointId, String> addresses) {
        this.broadcast = broadcast;
        this.refuse = refuse;
        this.addresses = addresses;
    }

    @Override
    public void start() {
        loop.every(TICK_MILLIS, () -> step(new QuarantineInput.Tick()));
    }

    @Override
    public void stop() {
        loop.stop();
    }

    /** Takes note of lost streams, from any thread. */
    void endpointLost(GenerationEffect.EndpointLost e) {
        Set<Fingerprint> running = Set.copyOf(e.running());
        if (e.silent()) {
            loop.execute(() -> step(new QuarantineInput.Died(e.endpoint(), running)));
            return;
        }
        loop.execute(
                () -> {
                    boolean first = !unchecked.containsKey(e.endpoint());
                    unchecked.computeIfAbsent(e.endpoint(), x -> new HashSet<>()).addAll(running);
                    if (first) {
                        loop.after(CHECK_DELAY_MILLIS, () -> check(e.endpoint()));
                    }
                });
    }

    /** Takes a message of another router, from any thread. */
    void receive(HostId sender, BuddyMessage.OfRouter message) {
        if (message instanceof BuddyMessage.DeathReport m) {
            loop.execute(
                    () -> step(new QuarantineInput.Reported(sender, m.endpoint(), m.running())));
        } else if (message instanceof BuddyMessage.QuarantineNotice m) {
            loop.execute(() -> step(new QuarantineInput.Announced(m.fingerprint(), m.millis())));
        }
    }

    private void check(EndpointId endpoint) {
        Set<Fingerprint> running = unchecked.remove(endpoint);
        String address = addresses.apply(endpoint);
        if (address == null || !takesConnections(address)) {
            step(new QuarantineInput.Died(endpoint, running));
        }
    }

    private static boolean takesConnections(String address) {
        try (Socket socket = new Socket()) {
            socket.connect(Addresses.parse(address), CONNECT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void step(QuarantineInput input) {
        for (QuarantineEffect effect : quarantine.step(ControlLoop.nowMillis(), input)) {
            if (effect instanceof QuarantineEffect.Report e) {
                broadcast.accept(new BuddyMessage.DeathReport(e.endpoint(), e.running()));
            } else if (effect instanceof QuarantineEffect.Announce e) {
                broadcast.accept(new BuddyMessage.QuarantineNotice(e.fingerprint(), e.millis()));
            } else if (effect instanceof QuarantineEffect.Quarantined e) {
                refuse.accept(e.fingerprint(), e.on());
                LogEvent.warning(LOG, "request.quarantined")
                        .with("fingerprint", e.fingerprint())
                        .with("on", e.on())
                        .write();
            }
        }
    }
}
