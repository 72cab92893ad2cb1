package io.siskintrail.registry.internal;

import io.siskintrail.lib.HostId;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.Link;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.registry.RegistryCodec;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Commits commands and confirms reads from any registry: on the leader itself, else by asking it. A
 * call that is refused, because leadership moves, is tried again until its time is over. Commands
 * may be committed more than once, which does no harm to the state.
 */
final class LogAccess {
    private static final long RETRY_MILLIS = 60;

    /** Time after which a call whose answer may be lost is sent again, in milliseconds. */
    private static final long RESEND_MILLIS = 350;

    /** Size of a command for which a call waits a millisecond longer before it is sent again. */
    private static final int BYTES_PER_MILLI = 1024;

    private final EventLoop loop;
    private final RegistryReplica replica;
    private final RegistryPeers peers;
    private final Map<Long, LongConsumer> asked = new HashMap<>();
    private final Set<Call> open = new LinkedHashSet<>();
    private long nextToken = 1;
    private boolean stopped;

    LogAccess(EventLoop loop, RegistryReplica replica, RegistryPeers peers) {
        this.loop = loop;
        this.replica = replica;
        this.peers = peers;
    }

    /**
     * Commits a command.
     *
     * @param deadline when to give up, in monotonic milliseconds
     * @param done called once, with whether the command is committed and applied here
     */
    void commit(byte[] command, long deadline, Consumer<Boolean> done) {
        Call call = new Call(command, deadline, done);
        call.send();
    }

    /**
     * Waits until this replica has applied all that was committed before now.
     *
     * @param deadline when to give up, in monotonic milliseconds
     * @param done called once, with whether that is so
     */
    void catchUp(long deadline, Consumer<Boolean> done) {
        Call call = new Call(null, deadline, done);
        call.send();
    }

    /** Ends the open calls without a result, as if their time were over, and all that follow. */
    void stop() {
        stopped = true;
        List.copyOf(open).forEach(c -> c.end(false));
    }

    /** Takes a message between registries that concerns the log; false when it is another. */
    boolean receive(Link from, RegistryMessage message) {
        if (message instanceof RegistryMessage.Propose p) {
            replica.propose(
                    p.command(), i -> reply(from, new RegistryMessage.Proposed(p.token(), i)));
        } else if (message instanceof RegistryMessage.Read r) {
            replica.read(i -> reply(from, new RegistryMessage.ReadAt(r.token(), i)));
        } else if (message instanceof RegistryMessage.Proposed p) {
            answered(p.token(), p.index());
        } else if (message instanceof RegistryMessage.ReadAt r) {
            answered(r.token(), r.index());
        } else {
            return false;
        }
        return true;
    }

    private void reply(Link from, RegistryMessage message) {
        from.send(MessageKind.REGISTRY, RegistryCodec.encode(message));
    }

    private void answered(long token, long index) {
        LongConsumer waiting = asked.remove(token);
        if (waiting != null) {
            waiting.accept(index);
        }
    }

    /** One commit, or one read when it has no command. */
    private final class Call {
        private final byte[] command;
        private final long deadline;
        private final Consumer<Boolean> done;
        private boolean ended;
        private int round;

        Call(byte[] command, long deadline, Consumer<Boolean> done) {
            this.command = command;
            this.deadline = deadline;
            this.done = done;
            open.add(this);
        }

        void send() {
            if (ended) {
                return;
            }
            if (stopped || EventLoop.nowMillis() >= deadline) {
                end(false);
                return;
            }
            int current = ++round;
            HostId leader = replica.leader();
            if (replica.isLeader()) {
                sendHere(current);
            } else if (leader == null || !sendTo(leader, current)) {
                loop.after(RETRY_MILLIS, () -> again(current));
                return;
            }
            loop.after(RESEND_MILLIS + sendMillis(), () -> again(current));
        }

        private void sendHere(int current) {
            if (command == null) {
                replica.read(i -> reached(current, i));
            } else {
                replica.propose(command, i -> reached(current, i));
            }
        }

        private boolean sendTo(HostId leader, int current) {
            long token = nextToken++;
            asked.put(token, i -> reached(current, i));
            loop.after(Math.max(1, deadline - EventLoop.nowMillis()), () -> asked.remove(token));
            return peers.send(
                    leader,
                    command == null
                            ? new RegistryMessage.Read(token)
                            : new RegistryMessage.Propose(token, command));
        }

        /** Returns the time that a large command needs, in milliseconds. */
        private long sendMillis() {
            return command == null ? 0 : command.length / BYTES_PER_MILLI;
        }

        private void again(int from) {
            if (from == round) {
                send();
            }
        }

        private void reached(int from, long index) {
            if (ended) {
                return;
            }
            if (index < 0) {
                loop.after(RETRY_MILLIS + sendMillis() / 2, () -> again(from));
                return;
            }
            replica.whenApplied(index, () -> end(true));
        }

        private void end(boolean reached) {
            if (!ended) {
                ended = true;
                open.remove(this);
                done.accept(reached && EventLoop.nowMillis() < deadline);
            }
        }
    }
}
