package io.siskintrail.internal.session;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The side of a client: numbers commands, sends them to the replica that it takes for the leader,
 * repeats them until an answer comes, and gives up at the deadline.
 */
public final class ClientSession implements StateMachine<SessionInput, SessionEffect> {
    private static final long REDIRECT_PAUSE_MILLIS = 20;
    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    private static final long MAX_IDLE_MILLIS = SessionTable.SESSION_MILLIS / 2;

    private final List<HostId> replicas;
    private final long retryMillis;
    private final long deadlineMillis;
    private final SplittableRandom random;
    private final TreeMap<Long, Pending> pending = new TreeMap<>();
    private final List<SessionEffect> effects = new ArrayList<>();
    private HostId target;
    private long nonce;
    private long client;
    private boolean opened;
    private long openSentAt;
    private long nextNumber;
    private long heardAt;
    private long answeredAt;
    private long redirectedAt;
    private long now;

    private static final class Pending {
        private final long token;
        private final Payload command;
        private final long deadline;
        private long sentAt;
        private boolean sent;

        Pending(long token, Payload command, long deadline) {
            this.token = token;
            this.command = command;
            this.deadline = deadline;
        }
    }

    /**
     * Prepares a session.
     *
     * @param replicas the hosts that may hold replicas; not empty
     * @param retryMillis after how long without an answer a command is repeated
     * @param deadlineMillis after how long a command is given up
     * @param seed the seed of session numbers; must differ between clients
     */
    public ClientSession(List<HostId> replicas, long retryMillis, long deadlineMillis, long seed) {
        this.replicas = List.copyOf(replicas);
        this.retryMillis = retryMillis;
        this.deadlineMillis = deadlineMillis;
        this.random = new SplittableRandom(seed);
        this.target = this.replicas.get(random.nextInt(this.replicas.size()));
        begin();
    }

    @Override
    public List<SessionEffect> step(long nowMillis, SessionInput input) {
        now = nowMillis;
        effects.clear();
        if (input instanceof SessionInput.Submit s) {
            submit(s);
        } else if (input instanceof SessionInput.Opened o) {
            opened(o);
        } else if (input instanceof SessionInput.Answered a) {
            answered(a);
        } else if (input instanceof SessionInput.NotLeader n) {
            redirect(n);
        } else if (input instanceof SessionInput.TooLarge t && isCurrent(t.client())) {
            fail(t.number(), ResultCode.COMMAND_TOO_LARGE);
        } else if (input instanceof SessionInput.Forgotten f && isCurrent(f.client())) {
            reopen();
        } else if (input instanceof SessionInput.Tick) {
            tick();
        }
        return List.copyOf(effects);
    }

    private boolean isCurrent(long session) {
        return opened && session == client;
    }

    private void begin() {
        nonce = random.nextLong();
        opened = false;
        nextNumber = 1;
        openSentAt = Long.MIN_VALUE / 2;
    }

    private void submit(SessionInput.Submit input) {
        if (pending.isEmpty()) {
            heardAt = now;
            renewIdle();
        }
        Pending p = new Pending(input.token(), input.command(), now + deadlineMillis);
        pending.put(nextNumber, p);
        nextNumber++;
        if (opened) {
            send(List.of(nextNumber - 1));
        } else {
            open();
        }
    }

    /** Begins a new session when the old one may be forgotten soon. */
    private void renewIdle() {
        if (opened && now - answeredAt > MAX_IDLE_MILLIS) {
            begin();
        }
    }

    private void open() {
        if (now - openSentAt >= retryMillis) {
            openSentAt = now;
            effects.add(new SessionEffect.Propose(target, List.of(NumberedCommand.open(nonce))));
        }
    }

    private void opened(SessionInput.Opened answer) {
        heardAt = now;
        answeredAt = now;
        if (opened || answer.nonce() != nonce) {
            return;
        }
        opened = true;
        client = answer.client();
        send(List.copyOf(pending.keySet()));
    }

    private void answered(SessionInput.Answered answer) {
        heardAt = now;
        if (!isCurrent(answer.client())) {
            return;
        }
        answeredAt = now;
        Pending p = pending.remove(answer.number());
        if (p != null) {
            effects.add(new SessionEffect.Complete(p.token, answer.answer()));
        }
    }

    private void redirect(SessionInput.NotLeader refusal) {
        if (!refusal.from().equals(target) || now - redirectedAt < REDIRECT_PAUSE_MILLIS) {
            return;
        }
        redirectedAt = now;
        heardAt = now;
        if (refusal.leader() != null && !refusal.leader().equals(target)) {
            target = refusal.leader();
            resend();
        } else {
            nextTarget();
        }
    }

    private void resend() {
        if (opened) {
            send(List.copyOf(pending.keySet()));
        } else {
            openSentAt = Long.MIN_VALUE / 2;
            open();
        }
    }

    private void fail(long number, ResultCode code) {
        Pending p = pending.remove(number);
        if (p != null) {
            effects.add(new SessionEffect.Fail(p.token, code));
        }
    }

    /**
     * Begins a new session; what was sent may have been applied before the old one was forgotten.
     */
    private void reopen() {
        List<Pending> old = new ArrayList<>(pending.values());
        pending.clear();
        begin();
        for (Pending p : old) {
            if (p.sent) {
                effects.add(new SessionEffect.Fail(p.token, ResultCode.CONTROL_OUTCOME_UNKNOWN));
                continue;
            }
            pending.put(nextNumber, p);
            nextNumber++;
        }
        open();
    }

    private void tick() {
        expire();
        if (pending.isEmpty()) {
            heardAt = now;
            return;
        }
        if (now - heardAt >= retryMillis) {
            heardAt = now;
            nextTarget();
        }
        if (!opened) {
            open();
            return;
        }
        List<Long> due = new ArrayList<>();
        pending.forEach(
                (number, p) -> {
                    if (now - p.sentAt >= retryMillis) {
                        due.add(number);
                    }
                });
        send(due);
    }

    private void expire() {
        Iterator<Pending> all = pending.values().iterator();
        while (all.hasNext()) {
            Pending p = all.next();
            if (now >= p.deadline) {
                all.remove();
                ResultCode code =
                        p.sent
                                ? ResultCode.CONTROL_OUTCOME_UNKNOWN
                                : ResultCode.CONTROL_UNAVAILABLE;
                effects.add(new SessionEffect.Fail(p.token, code));
            }
        }
    }

    private void nextTarget() {
        int at = replicas.indexOf(target);
        target = replicas.get((at + 1) % replicas.size());
    }

    private void send(List<Long> numbers) {
        if (numbers.isEmpty()) {
            return;
        }
        long floor = pending.firstKey();
        List<NumberedCommand> commands = new ArrayList<>(numbers.size());
        int bytes = 0;
        for (long number : numbers) {
            Pending p = pending.get(number);
            bytes += p.command.length();
            if (bytes > MAX_MESSAGE_BYTES && !commands.isEmpty()) {
                effects.add(new SessionEffect.Propose(target, List.copyOf(commands)));
                commands.clear();
                bytes = p.command.length();
            }
            p.sentAt = now;
            p.sent = true;
            commands.add(new NumberedCommand(client, number, floor, p.command));
        }
        effects.add(new SessionEffect.Propose(target, List.copyOf(commands)));
    }
}
