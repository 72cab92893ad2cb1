package io.siskintrail.internal.rollout;

import io.siskintrail.lib.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest rollout of each service, built from committed commands. The log may contain a command
 * more than once, and a disk that is opened again replays commands onto newer state. Both change
 * nothing: rollouts of a service are numbered, a start applies only with the next number, and a
 * rollout ends once. Not thread-safe.
 */
public final class RolloutTable {
    /**
     * Time after a start during which the same order counts as sent again, in milliseconds. Callers
     * send an order again for at most 5 s; the same time again covers the delay of a call.
     */
    static final long REPEAT_MILLIS = 10_000;

    private final TreeMap<ServiceName, RolloutRecord> newest = new TreeMap<>();

    /** When this host learned that an order had started a rollout, in monotonic milliseconds. */
    private final Map<RolloutOrder, Long> acceptedAt = new HashMap<>();

    /** How an order relates to the rollouts so far. */
    public enum Verdict {
        /** No rollout of the service runs; the order can start one. */
        STARTABLE,
        /** The order started the running rollout of the service, or another one recently. */
        ACCEPTED,
        /** Another rollout of the service runs. */
        CONFLICT
    }

    /**
     * Applies a committed command.
     *
     * @param nowMillis monotonic time, which only affects {@link #judge}
     * @return the rollout that changed, empty if the command changed nothing
     */
    public Optional<RolloutRecord> apply(RolloutCommand command, long nowMillis) {
        if (command instanceof RolloutCommand.Start s) {
            RolloutRecord next = s.rollout();
            RolloutRecord held = newest.get(next.order().service());
            boolean startable =
                    held == null
                            ? next.number() == 1
                            : !held.isRunning() && next.number() == held.number() + 1;
            return startable && next.isRunning() ? put(next, nowMillis) : Optional.empty();
        }
        RolloutCommand.End end = (RolloutCommand.End) command;
        RolloutRecord held = newest.get(end.service());
        boolean endable = held != null && held.isRunning() && held.number() == end.number();
        if (!endable || end.status() == RolloutRecord.Status.RUNNING) {
            return Optional.empty();
        }
        RolloutRecord ended = held.with(end.status());
        newest.put(end.service(), ended);
        return Optional.of(ended);
    }

    /**
     * Takes over the rollouts of a snapshot that are newer than those held.
     *
     * @param nowMillis monotonic time, which only affects {@link #judge}
     * @return the rollouts that changed
     */
    public List<RolloutRecord> restore(List<RolloutRecord> rollouts, long nowMillis) {
        List<RolloutRecord> changed =
                rollouts.stream()
                        .filter(r -> get(r.order().service()).map(r::isNewerThan).orElse(true))
                        .toList();
        changed.forEach(r -> put(r, nowMillis));
        return changed;
    }

    /** Returns the newest rollout of a service, empty if there was none. */
    public Optional<RolloutRecord> get(ServiceName service) {
        return Optional.ofNullable(newest.get(service));
    }

    /** Returns the newest rollout of each service, ordered by service. */
    public List<RolloutRecord> rollouts() {
        return List.copyOf(newest.values());
    }

    /** Returns how {@code order} relates to the rollouts held at the monotonic time given. */
    public Verdict judge(RolloutOrder order, long nowMillis) {
        Long accepted = acceptedAt.get(order);
        if (accepted != null && nowMillis - accepted < REPEAT_MILLIS) {
            return Verdict.ACCEPTED;
        }
        RolloutRecord held = newest.get(order.service());
        if (held == null || !held.isRunning()) {
            return Verdict.STARTABLE;
        }
        return held.order().equals(order) ? Verdict.ACCEPTED : Verdict.CONFLICT;
    }

    /**
     * Returns the command that starts a rollout, given that {@link #judge} allows it.
     *
     * @param unixMillis the current time in Unix milliseconds
     */
    public RolloutCommand.Start startCommand(RolloutOrder order, long unixMillis) {
        long number = get(order.service()).map(RolloutRecord::number).orElse(0L) + 1;
        return new RolloutCommand.Start(
                new RolloutRecord(order, number, unixMillis, RolloutRecord.Status.RUNNING));
    }

    private Optional<RolloutRecord> put(RolloutRecord rollout, long nowMillis) {
        newest.put(rollout.order().service(), rollout);
        acceptedAt.values().removeIf(accepted -> nowMillis - accepted >= REPEAT_MILLIS);
        acceptedAt.put(rollout.order(), nowMillis);
        return Optional.of(rollout);
    }
}
