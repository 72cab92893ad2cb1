package io.siskintrail.edge.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
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
    private static final long REPORT_TIMEOUT_SECONDS = 60;
    private static final long REQUEST_TOKENS = 500;

    private final EventLoop loop = new EventLoop("test");
    private final BlockingQueue<RegistryMessage> sentMessages = new LinkedBlockingQueue<>();
    private final LoadExchange loadExchange =
            new LoadExchange(
                    loop,
                    new HostId("self"),
                    sentMessages::add,
                    new RetryBudgets(null, () -> 1, () -> false, s -> 0, new EdgeStats()));
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
     * Guards against other edges counting load that has ended because the report of its end was
     * lost: the edge reports once more that it has no load.
     */
    @Test
    void endOfAllLoadIsReportedAgain() throws InterruptedException {
        loop.execute(this::beginLoad);
        assertThat(nextReport().loads()).hasSize(1);
        loop.execute(this::endLoad);
        assertThat(nextReport().loads()).hasSize(1);

        loop.execute(loadExchange::reportAll);

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
        loop.execute(loadExchange::reportAll);
        nextReport();

        loop.execute(loadExchange::reportAll);
        loop.execute(this::beginLoad);

        // A repeated report would be complete; this one contains only the change that follows it.
        assertThat(nextReport().complete()).isFalse();
    }

    @Test
    void reportsFullLoadAfterRegistryLossEvenIfEmpty() throws InterruptedException {
        loop.execute(loadExchange::reportAllAfterRegistryLoss);

        RegistryMessage.HostLoads report = nextReport();
        assertThat(report.complete()).isTrue();
        assertThat(report.loads()).isEmpty();
    }

    /** Guards against a speed that takes a report of its own, or is repeated. */
    @Test
    void measuredSpeedIsSentOnceWithNextReport() throws InterruptedException {
        loop.execute(
                () ->
                        loadExchange
                                .speeds()
                                .of(new ServiceName("s"))
                                .recordFirstEvent(
                                        EventLoop.nowMillis(),
                                        engine.record().id(),
                                        8_000,
                                        0,
                                        false,
                                        1_080));
        loop.execute(this::beginLoad);

        RegistryMessage.HostLoads report = nextReport();
        assertThat(report.loads()).hasSize(1);
        assertThat(report.speeds()).hasSize(1);
        assertThat(report.speeds().get(0).prefillTokensPerSecond()).isEqualTo(8_000);
        loop.execute(this::endLoad);
        assertThat(nextReport().speeds()).isEmpty();
    }

    private void beginLoad() {
        engine.beginRequest(REQUEST_TOKENS);
        loadExchange.recordChange(engine);
    }

    private void endLoad() {
        engine.endRequest(REQUEST_TOKENS);
        loadExchange.recordChange(engine);
    }

    private RegistryMessage.HostLoads nextReport() throws InterruptedException {
        RegistryMessage.Loads loads =
                (RegistryMessage.Loads) sentMessages.poll(REPORT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return loads.hosts().get(0);
    }
}
