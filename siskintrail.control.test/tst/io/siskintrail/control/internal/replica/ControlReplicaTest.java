package io.siskintrail.control.internal.replica;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.RemoteControlClient;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replicas on loopback sockets and real files. */
class ControlReplicaTest {
    private static final long PATIENCE_MILLIS = 60_000;
    private static final int HOSTS = 5;
    private static final int VOTERS = 3;

    @TempDir private Path folder;
    private final List<HostInfo> infos = new ArrayList<>();
    private final Map<Integer, TestHost> hosts = new HashMap<>();
    private String expected = "";

    @BeforeEach
    void start() throws IOException {
        for (int i = 0; i < HOSTS; i++) {
            infos.add(TestHost.info("c" + i, FreePorts.next()));
        }
        for (int i = 0; i < VOTERS; i++) {
            startHost(i, "disk");
        }
        propose(hosts.get(0).replica.client(), 10);
    }

    @AfterEach
    void stop() {
        hosts.values().forEach(TestHost::close);
    }

    @Test
    void everyReplicaAppliesWhatIsAnswered() {
        propose(hosts.get(1).replica.client(), 40);
        awaitFollowed();
    }

    @Test
    void allRestartToTheSameState() {
        propose(hosts.get(0).replica.client(), 70);
        for (int i = 0; i < VOTERS; i++) {
            hosts.remove(i).kill();
        }
        for (int i = 0; i < VOTERS; i++) {
            startHost(i, "disk");
        }
        propose(hosts.get(2).replica.client(), 5);
        awaitFollowed();
    }

    @Test
    void proposalsGoOnWhenTheLeaderStopsOrDies() {
        hosts.remove(leader()).close();
        propose(client(), 20);
        startHost(missing(), "disk");
        hosts.remove(leader()).kill();
        propose(client(), 20);
        startHost(missing(), "disk");
        awaitFollowed();
    }

    @Test
    void lostDisksAreReplacedOneAfterTheOther() {
        propose(hosts.get(0).replica.client(), 50);
        startHost(3, "disk");
        hosts.remove(0).kill();
        awaitVoters(1, 2, 3);
        startHost(4, "disk");
        hosts.remove(1).kill();
        awaitVoters(2, 3, 4);
        propose(client(), 5);
        awaitFollowed();
    }

    @Test
    void hostWithoutReplicaFollowsAndProposes() throws IOException {
        propose(hosts.get(0).replica.client(), 70);
        HostInfo router = TestHost.info("router", FreePorts.next());
        ControlLoop loop = new ControlLoop("router");
        try (ThriftPeerTransport transport =
                new ThriftPeerTransport(
                        router.id(), Addresses.parse(router.peerAddress()), "shared-key")) {
            infos.forEach(h -> transport.addPeer(h.id(), Addresses.parse(h.peerAddress())));
            List<HostId> replicas = infos.stream().limit(VOTERS).map(HostInfo::id).toList();
            RemoteControlClient client =
                    new RemoteControlClient(
                            replicas, transport, loop::execute, ControlLoop::nowMillis, 5);
            client.register();
            transport.start();
            hosts.values().forEach(h -> h.addPeer(router));
            loop.every(RemoteControlClient.TICK_MILLIS, client::tick);
            FollowedText text = new FollowedText();
            client.follow(text);
            propose(client, 30);
            await("the router follows", () -> text.value().equals(expected));
        }
        loop.stop();
    }

    private void propose(ControlClient client, int count) {
        for (int i = 0; i < count; i++) {
            String command = Integer.toString(expected.length() % 10);
            byte[] answer = client.propose(command.getBytes()).toCompletableFuture().join();
            expected += command;
            assertThat(new String(answer)).isEqualTo(Integer.toString(expected.length()));
        }
    }

    private void awaitFollowed() {
        for (TestHost host : hosts.values()) {
            await(host.replica.id() + " has all commands", () -> host.followed().equals(expected));
        }
    }

    private void awaitVoters(int... numbers) {
        Set<HostId> wanted = new HashSet<>();
        for (int number : numbers) {
            wanted.add(infos.get(number).id());
        }
        await(
                "voters " + wanted,
                () -> hosts.values().stream().allMatch(h -> h.voters().equals(wanted)));
    }

    private int leader() {
        await("a leader", () -> hosts.values().stream().anyMatch(TestHost::leads));
        return hosts.entrySet().stream()
                .filter(e -> e.getValue().leads())
                .findAny()
                .map(Map.Entry::getKey)
                .orElseGet(this::leader);
    }

    private int missing() {
        int i = 0;
        while (hosts.containsKey(i)) {
            i++;
        }
        return i;
    }

    private ControlClient client() {
        return hosts.values().iterator().next().replica.client();
    }

    private void startHost(int number, String disk) {
        List<HostId> first = infos.stream().limit(VOTERS).map(HostInfo::id).toList();
        Path path = folder.resolve(disk + number);
        hosts.put(number, new TestHost(infos.get(number), infos, first, path));
    }

    private static void await(String what, BooleanSupplier condition) {
        long end = ControlLoop.nowMillis() + PATIENCE_MILLIS;
        while (!condition.getAsBoolean()) {
            assertWithMessage(what).that(ControlLoop.nowMillis()).isLessThan(end);
            try {
                TimeUnit.MILLISECONDS.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
