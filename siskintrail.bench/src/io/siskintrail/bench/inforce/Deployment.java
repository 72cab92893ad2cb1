package io.siskintrail.bench.inforce;

import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.ConfigurationCommand;
import io.siskintrail.internal.control.ConfigurationFollower;
import io.siskintrail.internal.control.ConfigurationPublisher;
import io.siskintrail.internal.control.ConfigurationState;
import io.siskintrail.internal.control.FollowerEffect;
import io.siskintrail.internal.control.FollowerInput;
import io.siskintrail.internal.control.FollowerSettings;
import io.siskintrail.internal.control.PublisherEffect;
import io.siskintrail.internal.control.PublisherInput;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.wire.CurrencyCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** One leader and many hosts in virtual time, with a fixed delay between any two processes. */
final class Deployment {
    private static final HostId CONTROL = new HostId("control");
    private static final long DELAY_MILLIS = 1;
    private static final long TICK_MILLIS = 100;
    private static final int ENVELOPE_BYTES = 64;
    private static final int DOMAINS = 5;

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final class Host {
        private final HostId id;
        private final ConfigurationFollower follower;
        private boolean isolated;
        private long applied;

        private Host(HostId id, FollowerSettings settings) {
            this.id = id;
            this.follower = new ConfigurationFollower(settings);
        }

        private void step(FollowerInput input) {
            follower.step(now, input).forEach(e -> carryOut(this, e));
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<HostId, Host> hosts = new HashMap<>();
    private final List<Host> list = new ArrayList<>();
    private final ConfigurationState state = new ConfigurationState();
    private final ConfigurationPublisher publisher = new ConfigurationPublisher();
    private boolean controlRuns = true;
    private long now;
    private long sequence;
    private long index;
    private long messages;
    private long bytes;

    Deployment(int hostCount, Strategy strategy) {
        List<HostInfo> infos = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) {
            HostId id = new HostId("host-" + i);
            infos.add(new HostInfo(id, new FailureDomain("d" + i % DOMAINS), "10.0.0.1:7000"));
            Host host = new Host(id, strategy.settings(id, CONTROL));
            hosts.put(id, host);
            list.add(host);
        }
        commit(new ConfigurationCommand.SeedHosts(infos));
        for (int i = 0; i < hostCount; i++) {
            tick(list.get(i), i % TICK_MILLIS);
        }
        tickControl();
    }

    private void after(long millis, Runnable task) {
        events.add(new Event(now + millis, sequence++, task));
    }

    private void tick(Host host, long delay) {
        after(
                delay,
                () -> {
                    host.step(new FollowerInput.Tick());
                    tick(host, TICK_MILLIS);
                });
    }

    private void tickControl() {
        if (controlRuns) {
            step(new PublisherInput.Leading(now + 10 * TICK_MILLIS));
        }
        after(TICK_MILLIS, this::tickControl);
    }

    private void step(PublisherInput input) {
        if (controlRuns) {
            publisher.step(now, input).forEach(this::carryOut);
        }
    }

    /** Commits a command at once; returns the version it made. */
    long commit(ConfigurationCommand command) {
        index++;
        state.apply(new LogPosition(1, index), now, command);
        step(new PublisherInput.Committed(state.image()));
        return state.current().version();
    }

    private void carryOut(PublisherEffect effect) {
        if (effect instanceof PublisherEffect.Answer e) {
            var answer =
                    new FollowerInput.LeaderAnswer(
                            CONTROL, e.nonce(), e.version(), e.configuration());
            send(null, e.to(), e.configuration() == null ? 0 : size(e.configuration()), answer);
        } else if (effect instanceof PublisherEffect.Push e) {
            var pushed = new FollowerInput.Pushed(CONTROL, e.configuration());
            send(null, e.to(), size(e.configuration()), pushed);
        } else if (effect instanceof PublisherEffect.ProposeMark e) {
            after(DELAY_MILLIS, () -> commit(new ConfigurationCommand.MarkInForce(e.version())));
        }
    }

    private static int size(Configuration configuration) {
        return CurrencyCodec.encode(new PublisherEffect.Push(CONTROL, configuration)).length;
    }

    private void carryOut(Host host, FollowerEffect effect) {
        if (effect instanceof FollowerEffect.Apply e) {
            host.applied = e.configuration().version();
        } else if (effect instanceof FollowerEffect.AskControl e) {
            count(0);
            var question = new PublisherInput.Question(host.id, e.nonce(), e.version());
            if (!host.isolated) {
                after(DELAY_MILLIS, () -> step(question));
            }
        } else if (effect instanceof FollowerEffect.AskPeer e) {
            send(host, e.to(), 0, new FollowerInput.PeerQuestion(host.id, e.nonce(), e.version()));
        } else if (effect instanceof FollowerEffect.AnswerPeer e) {
            var answer =
                    new FollowerInput.PeerAnswer(
                            host.id, e.nonce(), e.counted(), e.version(), e.configuration());
            send(host, e.to(), 0, answer);
        }
    }

    private void send(Host from, HostId to, int contentBytes, FollowerInput input) {
        count(contentBytes);
        Host host = hosts.get(to);
        if (host != null && !host.isolated && (from == null || !from.isolated)) {
            after(DELAY_MILLIS, () -> host.step(input));
        }
    }

    private void count(int contentBytes) {
        messages++;
        bytes += ENVELOPE_BYTES + contentBytes;
    }

    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        now = end;
    }

    void stopControl() {
        controlRuns = false;
    }

    void isolate(int host) {
        list.get(host).isolated = true;
    }

    boolean takesWork(int host) {
        return list.get(host).follower.mayTakeWork(now);
    }

    long applied(int host) {
        return list.get(host).applied;
    }

    int taking() {
        return (int) list.stream().filter(h -> h.follower.mayTakeWork(now)).count();
    }

    long inForceVersion() {
        return state.inForceVersion();
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }
}
