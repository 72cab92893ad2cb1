package io.siskintrail.edge.internal;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.EndpointView;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint whose address cannot be dialed counts as unreachable. */
class UndialableEndpointTest {
    private static final long TIMEOUT_SECONDS = 10;

    private final EventLoop loop = new EventLoop("test");
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** Guards against an exception while a client's request is handled. */
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1", "10.0.0.1:x"})
    void addressThatCannotBeDialedIsAConnectFailure(String address) throws InterruptedException {
        EndpointPool pool = new EndpointPool(loop, null);
        EndpointView endpoint = new EndpointView(record("odd", address, 4));
        EndpointRequest request =
                new EndpointRequest("GET", "/", new DefaultHttpHeaders(), new byte[0]);

        loop.execute(() -> pool.send(new Attempt(endpoint, request, "r1", new Outcome())));
        assertThat(outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("connect failure");

        loop.execute(() -> pool.probe(address, reached -> outcomes.add("reached " + reached)));
        assertThat(outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("reached false");
    }

    private static EndpointRecord record(String id, String address, int slots) {
        return new EndpointRecord(
                new EndpointId(id),
                1,
                1,
                new ServiceName("s"),
                address,
                new FailureDomain("d"),
                slots,
                0,
                EndpointState.READY);
    }

    /** Records how an attempt ends. */
    private final class Outcome implements AttemptListener {
        @Override
        public void onConnectFailure(String cause) {
            outcomes.add("connect failure");
        }

        @Override
        public void onHead(HttpResponse response) {}

        @Override
        public void onBody(byte[] bytes) {}

        @Override
        public void onComplete() {
            outcomes.add("complete");
        }

        @Override
        public void onFailure(String cause) {
            outcomes.add("failure " + cause);
        }
    }
}
