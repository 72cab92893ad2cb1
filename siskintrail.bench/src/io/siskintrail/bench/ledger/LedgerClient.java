package io.siskintrail.bench.ledger;

import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.ledger.ClaimId;
import io.siskintrail.internal.ledger.ContentDigest;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.internal.ledger.OrderKey;
import io.siskintrail.internal.ledger.StoredAnswer;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.RemoteControlClient;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletionStage;

/** Places orders from a host without a replica: claim, dispatch, complete, each committed. */
final class LedgerClient implements AutoCloseable {
    private static final long RETENTION_MILLIS = 86_400_000;
    private static final long ANSWER_MILLIS = 30_000;
    private static final ServiceName SERVICE = new ServiceName("refill");
    private static final EndpointId ENDPOINT = new EndpointId("refill-1");
    private static final StoredAnswer ANSWER =
            StoredAnswer.of(
                    201,
                    "application/json",
                    "{\"order\":\"accepted\",\"crew\":7}".getBytes(StandardCharsets.UTF_8));

    private final ControlLoop loop = new ControlLoop("bench-client");
    private final ThriftPeerTransport transport;
    private final ControlClient client;
    private final ControlStateCodec codec = new ControlStateCodec();
    private final HostId host;
    private final long boot = new Random().nextLong();

    LedgerClient(HostInfo self, List<HostInfo> replicas) {
        host = self.id();
        transport =
                new ThriftPeerTransport(
                        self.id(), Addresses.parse(self.peerAddress()), LedgerReplica.SHARED_KEY);
        replicas.forEach(r -> transport.addPeer(r.id(), Addresses.parse(r.peerAddress())));
        RemoteControlClient remote =
                new RemoteControlClient(
                        replicas.stream().map(HostInfo::id).toList(),
                        transport,
                        loop::execute,
                        ControlLoop::nowMillis,
                        boot);
        remote.register();
        transport.start();
        loop.every(RemoteControlClient.TICK_MILLIS, remote::tick);
        client = remote;
    }

    /** Claims an order and puts its dispatch on record: what precedes the call of the endpoint. */
    CompletionStage<byte[]> beforeCall(long number) {
        OrderKey key = key(number);
        ClaimId claim = new ClaimId(host, boot, number);
        ContentDigest digest = new ContentDigest("%032x".formatted(number));
        return propose(new LedgerCommand.Claim(key, claim, digest, RETENTION_MILLIS))
                .thenCompose(
                        x ->
                                propose(
                                        new LedgerCommand.Dispatch(
                                                key, claim, ENDPOINT, 1, ANSWER_MILLIS)));
    }

    /** Records the answer of an order. */
    CompletionStage<byte[]> complete(long number) {
        ClaimId claim = new ClaimId(host, boot, number);
        return propose(new LedgerCommand.Complete(key(number), claim, 1, ANSWER));
    }

    @Override
    public void close() {
        transport.close();
        loop.stop();
    }

    private CompletionStage<byte[]> propose(LedgerCommand command) {
        return client.propose(codec.encodeCommand(new ControlCommand.ToLedger(command)));
    }

    private OrderKey key(long number) {
        AccountId account = new AccountId("account-" + number % 10);
        return new OrderKey(SERVICE, account, new RequestKey("key-" + number));
    }
}
