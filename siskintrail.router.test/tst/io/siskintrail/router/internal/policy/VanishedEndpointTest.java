package io.siskintrail.router.internal.policy;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.membership.UsableEndpoint;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.router.internal.rules.StandaloneRules;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.wire.MessageKind;
import io.siskintrail.wire.PeerHandler;
import io.siskintrail.wire.PeerTransport;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that the policy service reports an endpoint that disappears from the directory, but
 * reports none when all disappear at once.
 */
class VanishedEndpointTest {
    private static final HostId SELF = new HostId("r0");
    private static final long TIMEOUT_SECONDS = 30;

    private final EndpointDirectory directory = new EndpointDirectory();
    private final BlockingQueue<EndpointId> reportedEndpoints = new LinkedBlockingQueue<>();
    private final ControlLoop loop = new ControlLoop("test-control");
    private PolicyService policy;

    @BeforeEach
    void start() throws Exception {
        publish("e0", "e1");
        policy =
                new PolicyService(
                        SELF,
                        1,
                        new DisconnectedTransport(),
                        loop,
                        directory,
                        () -> Set.of(SELF),
                        new StandaloneRules(),
                        new PolicyMeters());
        policy.onGone(reportedEndpoints::add);
        policy.start();
        awaitDirectoryCheck();
    }

    @AfterEach
    void stop() {
        policy.stop();
        loop.stop();
    }

    @Test
    void reportsEndpointThatDisappearsWhileOthersRemain() throws Exception {
        publish("e1");
        assertThat(reportedEndpoints.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isEqualTo(new EndpointId("e0"));
    }

    @Test
    void reportsNoEndpointWhenAllDisappear() throws Exception {
        publish();
        awaitDirectoryCheck();
        awaitDirectoryCheck();
        assertThat(reportedEndpoints).isEmpty();
    }

    /** Waits until the policy service has checked the published endpoints. */
    private void awaitDirectoryCheck() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(4 * PolicyService.WATCH_MILLIS);
        loop.submit(() -> true).join();
    }

    private void publish(String... ids) {
        directory.publish(
                Stream.of(ids).map(id -> new UsableEndpoint(info(id), Long.MAX_VALUE)).toList());
    }

    private static EndpointInfo info(String id) {
        return new EndpointInfo(
                new EndpointId(id),
                "127.0.0.1:1",
                EndpointKind.ENGINE,
                new FailureDomain("d"),
                List.of(new ModelId("quoting", "", "v1")),
                List.of(),
                4,
                true,
                1,
                false);
    }

    private static final class DisconnectedTransport implements PeerTransport {
        @Override
        public void send(HostId to, MessageKind kind, byte[] body) {}

        @Override
        public void handle(MessageKind kind, PeerHandler handler) {}
    }
}
