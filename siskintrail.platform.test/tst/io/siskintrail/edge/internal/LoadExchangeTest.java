package io.siskintrail.edge.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.EndpointRecord;
import io.siskintrail.internal.traffic.EndpointState;
import io.siskintrail.internal.traffic.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.wire.registry.RegistryMessage;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that the load reports of an edge remain correct when messages are lost. */
class LoadExchangeTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final long TOKENS = 500;

    private final EventLoop loop = new EventLoop("test");
    private final BlockingQueue<RegistryMessage> sentMessages = new LinkedBlockingQueue<>();
    private final LoadExchange exchange =
            new LoadExchange(loop, new HostId("self"), sentMessages::add);
    private final EndpointView engine =
            new EndpointView(
                    new EndpointRecord(
                            new EndpointId("e1"),
                            1,
                            1,
                            new ServiceName("s"),
                            "127.0.0.1:1",
                            new FailureDomain("d"),
                            4,
                            0,
                            EndpointState.READY));

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    /**
     * If the last report is lost, other edges would otherwise count the load on the engine as still
     * present.
     */
    @Test
    void endOfAllLoadIsReportedAgain() throws InterruptedException {
        loop.execute(this::beginLoad);
        assertThat(nextReport().loads()).hasSize(1);
        loop.execute(this::endLoad);
        assertThat(nextReport().loads()).hasSize(1);

        loop.execute(exchange::reportAll);

        RegistryMessage.HostLoads lastReport = nextReport();
        assertThat(lastReport.complete()).isTrue();
        assertThat(lastReport.loads()).isEmpty();
    }

    @Test
    void idleEdgeDoesNotRepeatItsReport() throws InterruptedException {
        loop.execute(this::beginLoad);
        nextReport();
        loop.execute(this::endLoad);
        nextReport();
        loop.execute(exchange::reportAll);
        nextReport();

        loop.execute(exchange::reportAll);
        loop.execute(this::beginLoad);

        assertThat(nextReport().complete()).isFalse();
    }

    @Test
    void reportsFullLoadAfterLossEvenIfEmpty() throws InterruptedException {
        loop.execute(exchange::reportAllAfterLoss);

        RegistryMessage.HostLoads report = nextReport();
        assertThat(report.complete()).isTrue();
        assertThat(report.loads()).isEmpty();
    }

    private void beginLoad() {
        engine.beginRequest(TOKENS);
        exchange.recordChange(engine);
    }

    private void endLoad() {
        engine.endRequest(TOKENS);
        exchange.recordChange(engine);
    }

    private RegistryMessage.HostLoads nextReport() throws InterruptedException {
        RegistryMessage.Loads loads =
                (RegistryMessage.Loads) sentMessages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return loads.hosts().get(0);
    }
}
