package io.siskintrail.control;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.control.internal.replica.ReplicatedControlLog;
import io.siskintrail.internal.control.ConfigurationCommand;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.service.OperatorTokens;
import io.siskintrail.testkit.FreePorts;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.ThriftPeerTransport;
import io.siskintrail.wire.control.CommittedListener;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ControlServiceDiskTest {
    private static final int PATIENCE_SECONDS = 60;
    private static final String TOKEN = "token-of-an-operator";

    @TempDir private Path folder;
    private final ControlStateCodec codec = new ControlStateCodec();

    @Test
    void singleReplicaWithAFolderKeepsWhatItAnswered() throws Exception {
        HostInfo router = new HostInfo(new HostId("r"), new FailureDomain("d"), "127.0.0.1:1");
        ControlCommand command =
                new ControlCommand.ToConfiguration(
                        new ConfigurationCommand.SeedHosts(List.of(router)));
        byte[] bytes = codec.encodeCommand(command);
        try (Running first = new Running()) {
            first.log.client().propose(bytes).toCompletableFuture().get(60, TimeUnit.SECONDS);
        }
        try (Running second = new Running()) {
            CompletableFuture<byte[]> found = new CompletableFuture<>();
            second.log.client().follow(new First(found));
            assertThat(found.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo(bytes);
        }
    }

    @Test
    void replicaIsShownToOperators() throws Exception {
        ControlSettings settings =
                new ControlSettings(
                        "c1",
                        "d",
                        "127.0.0.1:0",
                        FreePorts.address(),
                        "shared-key",
                        folder.toString(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(new OperatorTokens.Operator("o", OperatorTokens.hashOf(TOKEN))));
        ControlService service = new ControlService(settings);
        service.start();
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://" + service.httpAddress() + "/admin/replica"))
                            .header("Authorization", "Bearer " + TOKEN)
                            .build();
            String body = "";
            for (int i = 0; i < PATIENCE_SECONDS * 10 && !body.contains("LEADER"); i++) {
                TimeUnit.MILLISECONDS.sleep(100);
                body =
                        HttpClient.newHttpClient()
                                .send(request, HttpResponse.BodyHandlers.ofString())
                                .body();
            }
            assertThat(body).contains("\"role\":\"LEADER\"");
            assertThat(body).contains("\"voters\":[\"c1:");
        } finally {
            service.stop();
        }
    }

    private record First(CompletableFuture<byte[]> found) implements CommittedListener {
        @Override
        public void entry(LogPosition position, long atMillis, byte[] command) {
            found.complete(command);
        }

        @Override
        public void snapshot(LogPosition position, byte[] image) {}
    }

    private final class Running implements AutoCloseable {
        private final ControlLoop loop = new ControlLoop("control");
        private final ThriftPeerTransport transport;
        private final ReplicatedControlLog log;

        Running() throws IOException {
            String address = FreePorts.address();
            ControlSettings settings =
                    new ControlSettings(
                            "c1",
                            "d",
                            "127.0.0.1:0",
                            address,
                            "shared-key",
                            folder.toString(),
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of());
            transport =
                    new ThriftPeerTransport(
                            settings.hostId(), Addresses.parse(address), settings.sharedKey());
            log = ReplicatedControlLog.open(settings, transport, loop);
            transport.start();
            log.start();
        }

        @Override
        public void close() {
            log.stop();
            transport.close();
            loop.stop();
        }
    }
}
