package io.siskintrail.wire.control;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.session.ClientSession;
import io.siskintrail.internal.session.SessionEffect;
import io.siskintrail.internal.session.SessionInput;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerTransport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * A {@link ControlClient} that reaches replicas over the peer transport. Its state lives on the
 * control thread of the process, whose owner calls {@link #tick} there every {@link #TICK_MILLIS}.
 */
public final class RemoteControlClient implements ControlClient {
    /** How often {@link #tick} is to be called, in milliseconds. */
    public static final long TICK_MILLIS = 25;

    private static final long RETRY_MILLIS = 400;
    private static final long DEADLINE_MILLIS = 8_000;

    private final List<HostId> replicas;
    private final PeerTransport transport;
    private final Executor loop;
    private final LongSupplier nowMillis;
    private final ClientSession session;
    private final int firstTarget;
    private final Map<Long, CompletableFuture<byte[]>> proposals = new HashMap<>();
    private final List<LogFollower> followers = new ArrayList<>();
    private long nextToken;

    /**
     * Prepares a client.
     *
     * @param replicas the hosts that may hold replicas; not empty
     * @param transport reaches them
     * @param loop runs tasks on the control thread, in order
     * @param nowMillis the monotonic clock
     * @param seed a random number that differs between processes and their restarts
     */
    public RemoteControlClient(
            List<HostId> replicas,
            PeerTransport transport,
            Executor loop,
            LongSupplier nowMillis,
            long seed) {
        this.replicas = List.copyOf(replicas);
        this.transport = transport;
        this.loop = loop;
        this.nowMillis = nowMillis;
        this.session = new ClientSession(this.replicas, RETRY_MILLIS, DEADLINE_MILLIS, seed);
        this.firstTarget = (int) Math.floorMod(seed, (long) this.replicas.size());
    }

    /** Takes the messages of replicas; to be called where no replica does so, before the start. */
    public void register() {
        transport.handle(MessageKind.CONTROL, this::receive);
    }

    @Override
    public CompletionStage<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        loop.execute(
                () -> {
                    nextToken++;
                    proposals.put(nextToken, answer);
                    step(new SessionInput.Submit(nextToken, Payload.wrap(command)));
                });
        return answer;
    }

    @Override
    public void follow(CommittedListener listener) {
        loop.execute(
                () -> {
                    LogFollower follower =
                            new LogFollower(replicas, firstTarget, listener, this::send);
                    followers.add(follower);
                    follower.ask(nowMillis.getAsLong());
                });
    }

    /** Repeats what was not answered; to be called on the control thread. */
    public void tick() {
        step(new SessionInput.Tick());
        long now = nowMillis.getAsLong();
        followers.forEach(f -> f.tick(now));
    }

    /** Takes a message of a replica; may be called from any thread. */
    public void receive(HostId from, byte[] body) {
        ControlMessage message = ControlMessageCodec.decode(body);
        loop.execute(() -> receive(from, message));
    }

    /** Takes a message of a replica on the control thread. */
    public void receive(HostId from, ControlMessage message) {
        if (message instanceof ControlMessage.Answered m) {
            step(new SessionInput.Answered(m.client(), m.number(), m.answer()));
        } else if (message instanceof ControlMessage.Opened m) {
            step(new SessionInput.Opened(m.nonce(), m.client()));
        } else if (message instanceof ControlMessage.NotLeader m) {
            step(new SessionInput.NotLeader(from, m.leader()));
        } else if (message instanceof ControlMessage.TooLarge m) {
            step(new SessionInput.TooLarge(m.client(), m.number()));
        } else if (message instanceof ControlMessage.Forgotten m) {
            step(new SessionInput.Forgotten(m.client(), m.number()));
        } else if (message instanceof ControlMessage.Followed m) {
            long now = nowMillis.getAsLong();
            List.copyOf(followers).forEach(f -> f.onFollowed(now, m));
        } else if (message instanceof ControlMessage.ImageChunk m) {
            long now = nowMillis.getAsLong();
            List.copyOf(followers).forEach(f -> f.onChunk(now, m));
        }
    }

    private void step(SessionInput input) {
        for (SessionEffect effect : session.step(nowMillis.getAsLong(), input)) {
            if (effect instanceof SessionEffect.Propose p) {
                send(p.to(), new ControlMessage.Propose(p.commands()));
            } else if (effect instanceof SessionEffect.Complete c) {
                proposals.remove(c.token()).complete(c.answer().array());
            } else if (effect instanceof SessionEffect.Fail f) {
                Failure failure = new Failure(f.code(), "proposal " + f.token());
                proposals.remove(f.token()).completeExceptionally(new ControlException(failure));
            }
        }
    }

    private void send(HostId to, ControlMessage message) {
        transport.send(to, MessageKind.CONTROL, ControlMessageCodec.encode(message));
    }
}
