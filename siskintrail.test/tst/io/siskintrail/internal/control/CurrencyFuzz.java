package io.siskintrail.internal.control;

import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Supplier;

/** Seven hosts with followers, three of them with a control replica, and two operators. */
final class CurrencyFuzz {
    static final int HOSTS = 7;
    private static final int TICK_MILLIS = 100;
    private static final int LONG_ISOLATION_MILLIS = 20_000;
    private static final int SETTLE_MILLIS = 15_000;
    private static final int OPERATORS = 2;

    /** The classes under test, so that broken variants can take their place. */
    record Parts(
            Function<FollowerSettings, ConfigurationFollower> follower,
            Supplier<ConfigurationPublisher> publisher,
            Supplier<ConfigurationState> state) {
        static final Parts SOUND =
                new Parts(
                        ConfigurationFollower::new,
                        ConfigurationPublisher::new,
                        ConfigurationState::new);
    }

    private final class Host {
        private final int place;
        private final HostId id;
        private final long clockOffset = random.nextInt(1_000_000);
        private final List<FollowerInput> backlog = new ArrayList<>();
        private ConfigurationFollower follower;
        private Configuration view = Configuration.EMPTY;
        private boolean running;
        private boolean paused;

        private Host(int place) {
            this.place = place;
            this.id = new HostId("h" + place);
        }

        private void start() {
            if (running) {
                return;
            }
            running = true;
            view = Configuration.EMPTY;
            follower = parts.follower.apply(FollowerSettings.of(id, controls, random.nextLong()));
        }

        private void kill() {
            running = false;
            paused = false;
            backlog.clear();
        }

        private void resume() {
            paused = false;
            List<FollowerInput> late = List.copyOf(backlog);
            backlog.clear();
            late.forEach(this::step);
        }

        private void step(FollowerInput input) {
            if (!running) {
                return;
            }
            if (paused) {
                backlog.add(input);
                return;
            }
            steps++;
            for (FollowerEffect effect : follower.step(network.now() + clockOffset, input)) {
                carryOut(this, effect);
            }
        }

        private boolean mayTakeWork() {
            return running && !paused && follower.mayTakeWork(network.now() + clockOffset);
        }
    }

    private final class Operator {
        private final String name;
        private String content;
        private long base;
        private int edits;
        private long sentAt;

        private Operator(int number) {
            this.name = "op" + number;
        }

        private void edit(long fromNumber) {
            if (content == null) {
                content = name + " edit " + edits++;
                base = fromNumber;
                send();
            }
        }

        private void send() {
            sentAt = network.now();
            String sent = content;
            if (network.chance(20)) {
                return;
            }
            control.propose(
                    new ConfigurationCommand.ApplyRules(base, sent, name),
                    answer -> take(sent, answer));
        }

        private void take(String sent, ConfigurationAnswer answer) {
            if (network.chance(20) || !sent.equals(content)) {
                return;
            }
            if (answer instanceof ConfigurationAnswer.RulesApplied applied) {
                awaitForce(sent, applied);
            } else if (answer instanceof ConfigurationAnswer.NumberTaken taken) {
                oracle.toldRefused(taken.winner(), sent);
                content = null;
            } else {
                throw new CurrencyOracle.Violation("unexpected answer %s", answer);
            }
        }

        private void awaitForce(String sent, ConfigurationAnswer.RulesApplied applied) {
            if (!sent.equals(content)) {
                return;
            }
            if (control.state().inForceVersion() >= applied.version()) {
                oracle.toldAccepted(applied.number(), applied.version(), sent);
                content = null;
            } else if (network.now() - sentAt < 1_000) {
                network.after(20, () -> awaitForce(sent, applied));
            }
        }

        private void tick() {
            if (content != null && network.now() - sentAt >= 1_000) {
                send();
            }
        }
    }

    private final Parts parts;
    private final SplittableRandom random;
    private final CurrencyNetwork network;
    private final CurrencyOracle oracle = new CurrencyOracle();
    private final ControlModel control;
    private final List<HostId> controls = new ArrayList<>();
    private final Host[] hosts = new Host[HOSTS];
    private final Operator[] operators = new Operator[OPERATORS];
    private long steps;

    CurrencyFuzz(Parts parts, long seed) {
        this.parts = parts;
        this.random = new SplittableRandom(seed);
        this.network = new CurrencyNetwork(HOSTS, random.split());
        this.control = new ControlModel(network, oracle, random.split(), parts, this::carryOut);
        for (int i = 0; i < ControlModel.REPLICAS; i++) {
            controls.add(new HostId("h" + i));
        }
        for (int i = 0; i < OPERATORS; i++) {
            operators[i] = new Operator(i);
        }
        for (int i = 0; i < HOSTS; i++) {
            hosts[i] = new Host(i);
            hosts[i].start();
        }
        tick();
        control.propose(new ConfigurationCommand.SeedHosts(allHosts()), answer -> {});
        run(1_000);
    }

    private static HostInfo info(int place) {
        return new HostInfo(
                new HostId("h" + place), new FailureDomain("d" + place % 3), "127.0.0.1:" + place);
    }

    private static List<HostInfo> allHosts() {
        List<HostInfo> all = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            all.add(info(i));
        }
        return all;
    }

    private void tick() {
        control.tick();
        for (Host host : hosts) {
            if (!host.paused) {
                host.step(new FollowerInput.Tick());
            }
        }
        for (Operator operator : operators) {
            operator.tick();
        }
        network.after(TICK_MILLIS, this::tick);
    }

    private static int place(HostId id) {
        return Integer.parseInt(id.value().substring(1));
    }

    private void carryOut(Host host, FollowerEffect effect) {
        if (effect instanceof FollowerEffect.Apply e) {
            host.view = e.configuration();
        } else if (effect instanceof FollowerEffect.AskControl e) {
            int to = place(e.to());
            var question = new PublisherInput.Question(host.id, e.nonce(), e.version());
            network.send(host.place, to, () -> control.question(to, question));
        } else if (effect instanceof FollowerEffect.AskPeer e) {
            var question = new FollowerInput.PeerQuestion(host.id, e.nonce(), e.version());
            sendToHost(host.place, e.to(), question);
        } else if (effect instanceof FollowerEffect.AnswerPeer e) {
            sendToHost(
                    host.place,
                    e.to(),
                    new FollowerInput.PeerAnswer(
                            host.id, e.nonce(), e.counted(), e.version(), e.configuration()));
        }
    }

    private void carryOut(int replica, PublisherEffect effect) {
        HostId self = new HostId("h" + replica);
        if (effect instanceof PublisherEffect.Answer e) {
            var answer =
                    new FollowerInput.LeaderAnswer(self, e.nonce(), e.version(), e.configuration());
            sendToHost(replica, e.to(), answer);
        } else if (effect instanceof PublisherEffect.Push e) {
            sendToHost(replica, e.to(), new FollowerInput.Pushed(self, e.configuration()));
        } else if (effect instanceof PublisherEffect.ProposeMark e) {
            control.propose(new ConfigurationCommand.MarkInForce(e.version()), answer -> {});
        }
    }

    private void sendToHost(int from, HostId to, FollowerInput input) {
        Host host = hosts[place(to)];
        network.send(from, host.place, () -> host.step(input));
    }

    private void check() {
        for (Host host : hosts) {
            if (host.mayTakeWork()) {
                oracle.serves(network.now(), host.id, host.view);
            }
        }
    }

    void run(long millis) {
        network.run(millis, this::check);
    }

    void take(CurrencyAction action) {
        int replica = action.a() % ControlModel.REPLICAS;
        switch (action.kind()) {
            case RUN -> run(action.amount());
            case RUN_ON -> run(2L * action.amount());
            case KILL -> hosts[action.a()].kill();
            case RESTART -> restart(hosts[action.a()]);
            case PAUSE -> hosts[action.a()].paused = hosts[action.a()].running;
            case RESUME -> hosts[action.a()].resume();
            case STOP_CONTROL -> control.stop(replica);
            case START_CONTROL -> control.start(replica);
            case BLOCK_ONE_WAY -> network.block(action.a(), action.b());
            case ISOLATE -> network.isolate(action.a());
            case ISOLATE_CONTROL_LONG -> isolateLong(replica, action.amount());
            case SPLIT -> network.split(action.amount());
            case SWING -> swing(action.a(), action.amount());
            case HEAL -> network.heal();
            case EDIT -> operators[action.a() % OPERATORS].edit(number());
            case RACE -> race();
            case LOSE_MESSAGES -> network.lose(action.amount() % 40);
            case DRAIN -> drain(action);
            case CHANGE_HOSTS -> changeHosts(action);
            default -> throw new IllegalArgumentException(action.toString());
        }
    }

    private static void restart(Host host) {
        host.kill();
        host.start();
    }

    private void isolateLong(int replica, int amount) {
        if (amount % 10 == 0) {
            network.isolate(replica);
            operators[0].edit(number());
            run(LONG_ISOLATION_MILLIS);
        }
    }

    /**
     * Lets an edit through on the least majority, restarts one host of it and joins that one with
     * those that missed the edit.
     */
    private void swing(int host, int amount) {
        int controls = (1 << ControlModel.REPLICAS) - 1;
        network.split(controls | 1 << host);
        operators[0].edit(number());
        run(amount);
        restart(hosts[host]);
        network.split(controls);
        run(2L * amount);
    }

    private long number() {
        return control.state().current().rulesNumber();
    }

    private void race() {
        long number = number();
        for (Operator operator : operators) {
            operator.edit(number);
        }
    }

    private void drain(CurrencyAction action) {
        HostId host = hosts[action.a()].id;
        boolean draining = action.amount() % 2 == 0;
        control.propose(new ConfigurationCommand.SetDraining(host, draining), answer -> {});
    }

    private void changeHosts(CurrencyAction action) {
        HostInfo host = info(action.b());
        ConfigurationCommand command =
                action.amount() % 2 == 0
                        ? new ConfigurationCommand.RemoveHost(host.id())
                        : new ConfigurationCommand.PutHost(host);
        control.propose(command, answer -> {});
    }

    /** Mends everything and checks that all hosts serve the newest rules and no edit waits. */
    void settle() {
        network.heal();
        for (int i = 0; i < ControlModel.REPLICAS; i++) {
            control.start(i);
        }
        for (Host host : hosts) {
            host.start();
            host.resume();
        }
        run(SETTLE_MILLIS);
        Configuration newest = control.state().current();
        for (Host host : hosts) {
            if (newest.admits(host.id) != host.mayTakeWork()) {
                throw new CurrencyOracle.Violation("%s does not recover", host.id);
            }
            if (host.mayTakeWork() && !host.view.equals(newest)) {
                throw new CurrencyOracle.Violation("%s stays behind", host.id);
            }
        }
        for (Operator operator : operators) {
            if (operator.content != null) {
                throw new CurrencyOracle.Violation("%s gets no answer", operator.name);
            }
        }
    }

    boolean takesWork(int host) {
        return hosts[host].mayTakeWork();
    }

    CurrencyOracle oracle() {
        return oracle;
    }

    long steps() {
        return steps;
    }
}
