package io.siskintrail.bench;

import io.siskintrail.internal.generation.BuddyMessage;
import io.siskintrail.internal.generation.OwnerEpoch;
import io.siskintrail.internal.generation.RequestRef;
import io.siskintrail.internal.generation.TokenRun;
import io.siskintrail.internal.policy.PolicyMessage.HeldSlots;
import io.siskintrail.internal.policy.PolicyMessage.Usage;
import io.siskintrail.internal.policy.PolicyMessage.UsageEntry;
import io.siskintrail.internal.policy.SuspensionCounts;
import io.siskintrail.internal.rules.RulesParser;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.BuddyCodec;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PolicyCodec;
import io.siskintrail.wire.ThriftPeerTransport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.zip.DeflaterOutputStream;

/**
 * Measures the slopes that docs/CAPACITY.md extrapolates from: sizes of messages by what they
 * carry, processor time of a message through the peer transport, and size and parsing time of a
 * rules file by accounts. Processor time is that of the whole process, both ends included.
 */
final class SlopesExperiment implements Experiment {
    private static final HostId SELF = new HostId("daemon-100");
    private static final HostId PEER = new HostId("daemon-200");
    private static final int MESSAGES = 200_000;
    private static final int SMALL_BODY_BYTES = 64;
    private static final int WINDOW = 2_000;
    private static final int PARSE_ROUNDS = 20;
    private static final long TIMEOUT_SECONDS = 60;
    private static final double NANOS_PER_MICRO = 1_000.0;

    @Override
    public int run(String[] args) throws Exception {
        int usage0 = PolicyCodec.encode(usage(0)).length;
        int usage100 = PolicyCodec.encode(usage(100)).length;
        print("usage_base_bytes", usage0);
        print("usage_bytes_per_account", (usage100 - usage0) / 100.0);
        int claim0 = PolicyCodec.encode(claim(0)).length;
        int claim32 = PolicyCodec.encode(claim(32)).length;
        print("claim_base_bytes", claim0);
        print("claim_bytes_per_endpoint", (claim32 - claim0) / 32.0);
        int copy1 = BuddyCodec.encode(1, copy(1)).length;
        int copy101 = BuddyCodec.encode(1, copy(101)).length;
        print("copy_first_token_bytes", copy1);
        print("copy_bytes_per_token", (copy101 - copy1) / 100.0);
        print("ack_bytes", BuddyCodec.encode(1, ack()).length);
        print("transport_cpu_us_per_message_alone", transport(1));
        print("transport_cpu_us_per_message_batched", transport(WINDOW));
        for (int accounts : new int[] {10, 100, 620}) {
            rules(accounts);
        }
        return 0;
    }

    private static Usage usage(int accounts) {
        List<UsageEntry> entries = new ArrayList<>();
        for (int i = 0; i < accounts; i++) {
            AccountId account = new AccountId("account-" + (100 + i));
            entries.add(new UsageEntry(account, Rank.BULK, 1e6 + i, 5_000 + i, 12, 3));
        }
        return new Usage(1, 1_000_000, entries);
    }

    private static io.siskintrail.internal.policy.PolicyMessage claim(int endpoints) {
        List<HeldSlots> held = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            held.add(new HeldSlots(new EndpointId("endpoint-" + (100 + i)), 4, 2, 1));
        }
        return new io.siskintrail.internal.policy.PolicyMessage.Claim(
                "quoting@2026-03/1",
                1_000,
                999,
                10,
                new SuspensionCounts(0, 0, 0),
                0,
                held,
                List.of());
    }

    private static BuddyMessage copy(int tokens) {
        int[] ids = new int[tokens];
        int[] ends = new int[tokens];
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            ids[i] = 20_000 + i;
            text.append(" word");
            ends[i] = text.length();
        }
        return new BuddyMessage.Copy(
                reference(),
                generation(),
                epoch(),
                500,
                TokenRun.of(ids, text.toString(), ends),
                null,
                1,
                new EndpointId("endpoint-100"));
    }

    private static BuddyMessage ack() {
        return new BuddyMessage.Ack(reference(), generation(), epoch(), 501, false);
    }

    private static RequestRef reference() {
        return new RequestRef(
                new AccountId("account-100"),
                new RequestKey("6a0c1a0e-58f6-4c39-a5a5-111111111111"));
    }

    private static GenerationId generation() {
        return new GenerationId("6a0c1a0e-58f6-4c39-a5a5-222222222222");
    }

    private static OwnerEpoch epoch() {
        return new OwnerEpoch(1, SELF, 1_796_366_291_000L);
    }

    /**
     * Returns microseconds of processor time for each message, {@code window} under way at most.
     */
    private static double transport(int window) throws Exception {
        InetSocketAddress to = FreePorts.socketAddress();
        InetSocketAddress from = FreePorts.socketAddress();
        int count = window == 1 ? MESSAGES / 10 : MESSAGES;
        java.util.concurrent.Semaphore room = new java.util.concurrent.Semaphore(window);
        CountDownLatch arrived = new CountDownLatch(count);
        try (ThriftPeerTransport receiver = new ThriftPeerTransport(PEER, to, "slopes-key");
                ThriftPeerTransport sender = new ThriftPeerTransport(SELF, from, "slopes-key")) {
            receiver.handle(
                    MessageKind.POLICY,
                    (host, body) -> {
                        room.release();
                        arrived.countDown();
                    });
            receiver.start();
            sender.start();
            sender.addPeer(PEER, to);
            byte[] body = new byte[SMALL_BODY_BYTES];
            long before = cpuNanos();
            for (int i = 0; i < count; i++) {
                if (!room.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    throw new IOException("a message was lost on loopback");
                }
                sender.send(PEER, MessageKind.POLICY, body);
            }
            if (!arrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException(arrived.getCount() + " messages were lost on loopback");
            }
            return (cpuNanos() - before) / NANOS_PER_MICRO / count;
        }
    }

    private static void rules(int accounts) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < accounts; i++) {
            text.append(
                    "rank bulk account=account-%d # Lina (sales): contract %d%n".formatted(i, i));
            text.append(
                    "weight 2 account=account-%d # Lina (sales): contract %d%n".formatted(i, i));
            text.append(
                    "limit account=account-%d requests=20/s in-flight=60 # Sami (operations)%n"
                            .formatted(i));
        }
        String file = text.toString();
        long before = 0;
        for (int i = 0; i < PARSE_ROUNDS * 2; i++) {
            if (i == PARSE_ROUNDS) {
                before = System.nanoTime();
            }
            RulesParser.parse(file);
        }
        double micros = (System.nanoTime() - before) / NANOS_PER_MICRO / PARSE_ROUNDS;
        print("rules_%d_accounts_bytes".formatted(accounts), file.length());
        print("rules_%d_accounts_deflated_bytes".formatted(accounts), deflated(file));
        print("rules_%d_accounts_parse_us".formatted(accounts), micros);
    }

    private static int deflated(String text) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
        return bytes.size();
    }

    private static long cpuNanos() {
        var bean = ManagementFactory.getOperatingSystemMXBean();
        return ((com.sun.management.OperatingSystemMXBean) bean).getProcessCpuTime();
    }

    private static void print(String key, double value) {
        System.out.printf(Locale.ROOT, "%s=%.1f%n", key, value);
    }
}
